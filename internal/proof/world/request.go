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

// Call is one request of a caller.
type Call struct {
	ID         string
	Service    string
	Idempotent bool
	// Stamp is when the caller made the id, zero if it leaves that to the entry.
	Stamp time.Time
	Body  []byte
	// Done is set with the outcome.
	Done bool
	Code codes.Code
	// SendCount counts the entries that it was sent to.
	SendCount int
}

const requestTimeout = 2 * time.Second

// journey carries out a call's flow at one entry.
type journey struct {
	entry   *Entry
	call    *Call
	flow    *flow.Flow
	done    func(codes.Code)
	team    string
	service string
}

// Do sends a call to an entry and calls done with the outcome.
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
	j := &journey{entry: e, call: c, done: done, team: team, service: service}
	j.flow = flow.New(s, flow.Request{
		ID: c.ID, Idempotent: c.Idempotent, Stamp: c.Stamp, Deadline: e.clock().Add(requestTimeout),
	})
	j.take(j.flow.Begin(e.clock(), e.world.rnd))
}

func (j *journey) take(s flow.Step) {
	e, w := j.entry, j.entry.world
	switch s.Action {
	case flow.Done:
		j.finish(s)
	case flow.Send:
		if s.HedgeAfter > 0 {
			w.on(e.Proc, s.HedgeAfter, func() { j.take(j.flow.Hedge(e.clock(), w.rnd)) })
		}
		j.send(s)
	case flow.Revoke:
		vm := w.addrs[s.Upstream.Addr].(*VM)
		call(w, e.Proc, vm.Proc, 250*time.Millisecond, func(reply func(*bool)) {
			never := vm.Host.Revoke(vm.clock(), j.call.ID)
			reply(&never)
		}, func(never *bool) {
			j.take(j.flow.Revoked(e.clock(), w.rnd, s.Try, never != nil && *never))
		})
	}
}

func (j *journey) send(s flow.Step) {
	e, w := j.entry, j.entry.world
	vm := w.addrs[s.Upstream.Addr].(*VM)
	req := &schema.ForwardRequest{
		Id: j.call.ID, Team: j.team, Service: j.service, Path: "/validate", Body: j.call.Body,
		TimeoutUs: s.Timeout.Microseconds(), Idempotent: j.call.Idempotent,
	}
	if !j.call.Stamp.IsZero() {
		req.StampMs = j.call.Stamp.UnixMilli()
	}
	call(w, e.Proc, vm.Proc, s.Timeout, func(reply func(*schema.ForwardReply)) {
		vm.forward(req, reply)
	}, func(reply *schema.ForwardReply) {
		if reply == nil {
			err := codes.New(codes.TimedOut, "no answer")
			j.take(j.flow.Failed(e.clock(), w.rnd, s.Try, err))
			return
		}
		j.take(j.flow.Replied(e.clock(), w.rnd, s.Try, reply))
	})
}

func (j *journey) finish(s flow.Step) {
	if s.Err == nil {
		want := worker.Answer(port.Request{ID: j.call.ID, Path: "/validate", Body: j.call.Body})
		if !bytes.Equal(want.Body, s.Reply.GetBody()) {
			j.entry.world.History.fault("call %s got the answer %q", j.call.ID, s.Reply.GetBody())
		}
	}
	j.done(codes.Of(s.Err))
}
