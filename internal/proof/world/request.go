package world

import (
	"bytes"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Call is a request of a caller to a service.
type Call struct {
	ID         string
	Service    string
	Idempotent bool
	// Stamp is the time at which the caller made the id. It is zero if the entry
	// made the id.
	Stamp time.Time
	Body  []byte
	// Done is set when the caller knows the outcome, which is Code.
	Done bool
	Code codes.Code
	// SendCount is the number of entries that the call was sent to.
	SendCount int
}

// requestTimeout is the time from the arrival of a call at an entry to its
// deadline.
const requestTimeout = 2 * time.Second

// flowRunner performs the steps of a call's flow at one entry.
type flowRunner struct {
	entry   *Entry
	call    *Call
	flow    *flow.Flow
	done    func(codes.Code)
	team    string
	service string
}

// Do sends a call to the entry and calls done with the result code.
func (e *Entry) Do(c *Call, team, service string, done func(codes.Code)) {
	c.SendCount++
	if e.Dead {
		done(codes.Unreachable)
		return
	}
	s := e.services[team+"/"+service]
	if s == nil {
		done(codes.UnknownService)
		return
	}
	r := &flowRunner{entry: e, call: c, done: done, team: team, service: service}
	r.flow = flow.New(s, flow.Request{
		ID: c.ID, Idempotent: c.Idempotent, Stamp: c.Stamp, Deadline: e.clock().Add(requestTimeout),
	})
	r.perform(r.flow.Begin(e.clock(), e.world.rnd))
}

// perform performs the flow's next step.
func (r *flowRunner) perform(s flow.Step) {
	e, w := r.entry, r.entry.world
	switch s.Action {
	case flow.Done:
		r.finish(s)
	case flow.Send:
		if s.HedgeAfter > 0 {
			w.runAfter(e.Proc, s.HedgeAfter, func() { r.perform(r.flow.Hedge(e.clock(), w.rnd)) })
		}
		r.send(s)
	case flow.Revoke:
		vm := w.addrs[s.Upstream.Addr].(*VM)
		call(w, e.Proc, vm.Proc, 250*time.Millisecond, func(reply func(*bool)) {
			neverRuns := vm.Host.Revoke(vm.clock(), r.call.ID)
			reply(&neverRuns)
		}, func(neverRuns *bool) {
			r.perform(r.flow.Revoked(e.clock(), w.rnd, s.Try, neverRuns != nil && *neverRuns))
		})
	}
}

// send forwards the request to the upstream of step s.
func (r *flowRunner) send(s flow.Step) {
	e, w := r.entry, r.entry.world
	vm := w.addrs[s.Upstream.Addr].(*VM)
	req := &schema.ForwardRequest{
		Id: r.call.ID, Team: r.team, Service: r.service, Path: "/validate", Body: r.call.Body,
		TimeoutUs: s.Timeout.Microseconds(), Idempotent: r.call.Idempotent,
	}
	if !r.call.Stamp.IsZero() {
		req.StampMs = r.call.Stamp.UnixMilli()
	}
	call(w, e.Proc, vm.Proc, s.Timeout, func(reply func(*schema.ForwardReply)) {
		vm.forward(req, reply)
	}, func(reply *schema.ForwardReply) {
		if reply == nil {
			err := codes.New(codes.TimedOut, "no reply")
			r.perform(r.flow.Failed(e.clock(), w.rnd, s.Try, err))
			return
		}
		r.perform(r.flow.Replied(e.clock(), w.rnd, s.Try, reply))
	})
}

// finish ends the flow. It records a violation if the response is not the one that
// the worker gives to this request.
func (r *flowRunner) finish(s flow.Step) {
	if s.Err == nil {
		want := worker.Answer(port.Request{ID: r.call.ID, Path: "/validate", Body: r.call.Body})
		if !bytes.Equal(want.Body, s.Reply.GetBody()) {
			r.entry.world.History.addViolation("call %s got the wrong response %q", r.call.ID, s.Reply.GetBody())
		}
	}
	r.done(codes.Of(s.Err))
}
