package lead_test

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	epoch = 4
	// firstAgentConn is the connection of the first VM's agent. Callers use connection 0.
	firstAgentConn = 10
)

// harness drives a leader. The spec simulates the store and the VMs.
type harness struct {
	leader  *lead.Leader
	now     time.Time
	records []port.Record
	seq     uint64
	// out holds the messages sent since the last call of a method that returns some.
	out []lead.OutboundMessage
}

func newHarness(records ...port.Record) *harness {
	h := &harness{now: time.Unix(1000, 0), records: records}
	h.lead(epoch)
	return h
}

// lead lets a new leader take over with the records in the store. Messages of the earlier one
// that were not collected are lost.
func (h *harness) lead(epoch uint64) {
	state, faults := table.Load(h.records)
	Expect(faults).To(BeEmpty())
	h.leader, h.out = lead.New(h.now, epoch, state, model.Config{}, slog.New(slog.DiscardHandler)), nil
}

// join sends the first lease request of VM n's agent, which lists its runs.
func (h *harness) join(n int, runs ...msgs.RunStatus) { h.requestLease(n, true, runs...) }

// requestLease sends a lease request of VM n's agent, which lists its runs. All are proven.
func (h *harness) requestLease(n int, synced bool, runs ...msgs.RunStatus) {
	h.requestUnproven(n, synced, nil, runs...)
}

// requestUnproven is requestLease with runs that are not proven.
func (h *harness) requestUnproven(n int, synced bool, unproven []msgs.RunRef, runs ...msgs.RunStatus) {
	h.seq++
	h.leader.Handle(h.now, uint64(firstAgentConn+n), &msgs.Message{Unproven: &msgs.Unproven{Runs: unproven}, LeaseRequest: &msgs.LeaseRequest{
		Seq: h.seq, Synced: synced, RunsListed: true, Runs: runs, VM: vmInfo(n),
	}})
}

// vmInfo returns the description of VM n.
func vmInfo(n int) msgs.VM {
	return msgs.VM{
		ID: fmt.Sprintf("vm-%d", n), Node: fmt.Sprintf("node-%d", n), Incarnation: 5, Service: "registry",
		Capacity: place.Resources{CPU: 16000, Memory: 64000},
	}
}

// request sends a caller's request.
func (h *harness) request(verb msgs.Verb, spec *model.Job, id model.ID) {
	h.seq++
	h.leader.Handle(h.now, 0, &msgs.Message{JobRequest: &msgs.JobRequest{Seq: h.seq, Verb: verb, Queue: "q", Job: id, Spec: spec}})
}

// submit sends a caller's request to accept a job.
func (h *harness) submit(j *model.Job) { h.request(msgs.Submit, j, j.ID) }

// advance lets time pass, while the store confirms each batch at once.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(20 * time.Millisecond) {
		if h.nextBatch() {
			h.confirmBatch()
		}
	}
}

// nextBatch sends the leader's next batch to the store and reports whether there was one.
func (h *harness) nextBatch() bool {
	h.leader.Tick(h.now)
	batch := h.leader.NextBatch(h.now)
	h.out = append(h.out, h.leader.TakeOutbound()...)
	if batch == nil {
		return false
	}
	h.store(batch.Records)
	return true
}

// store adds records to those in the store, which keeps the newest of each key.
func (h *harness) store(records []port.Record) {
	for _, r := range records {
		h.records = slices.DeleteFunc(h.records, func(old port.Record) bool { return old.Key == r.Key })
		if len(r.Value) > 0 {
			h.records = append(h.records, r)
		}
	}
}

// confirmBatch confirms the batch in flight.
func (h *harness) confirmBatch() {
	h.leader.Stored(h.now)
	h.out = append(h.out, h.leader.TakeOutbound()...)
}

// responses returns the responses to callers among the messages in out. Like starts, stops,
// orders and leases, it empties out.
func (h *harness) responses() []msgs.JobResponse {
	return collect(h, func(m *msgs.Message) []msgs.JobResponse {
		if m.JobResponse == nil {
			return nil
		}
		return []msgs.JobResponse{*m.JobResponse}
	})
}

func (h *harness) starts() []msgs.Start {
	return collect(h, func(m *msgs.Message) []msgs.Start {
		if m.Orders == nil {
			return nil
		}
		return m.Orders.Starts
	})
}

func (h *harness) orders() []msgs.Orders {
	return collect(h, func(m *msgs.Message) []msgs.Orders {
		if m.Orders == nil {
			return nil
		}
		return []msgs.Orders{*m.Orders}
	})
}

func (h *harness) leases() []msgs.Lease {
	return collect(h, func(m *msgs.Message) []msgs.Lease {
		if m.Lease == nil {
			return nil
		}
		return []msgs.Lease{*m.Lease}
	})
}

// collect returns the parts that selectParts finds in the messages in out, and empties out.
func collect[T any](h *harness, selectParts func(*msgs.Message) []T) []T {
	var list []T
	for _, msg := range h.out {
		list = append(list, selectParts(msg.Message)...)
	}
	h.out = nil
	return list
}

// job returns the description of job n with the given steps.
func job(n int, steps ...model.Step) *model.Job {
	return &model.Job{
		ID: model.ID(fmt.Sprintf("%016x", n)), Payload: "work", Steps: steps,
		Queue: model.Queue{Name: "q", Service: "registry", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
	}
}

var smallStep = model.Step{Tasks: 1, Size: place.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second}
