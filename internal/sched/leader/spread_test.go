package leader_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// heartbeat announces a VM that runs nothing yet, with results, and returns the leader's reply.
func (h *harness) heartbeat(vm string, results ...*schema.Result) *schema.BeatReply {
	return h.heartbeatOf(vm, nil, results...)
}

// heartbeatOf is heartbeat of a VM that runs an attempt of each of the tasks.
func (h *harness) heartbeatOf(vm string, running []*schema.TaskRef, results ...*schema.Result) *schema.BeatReply {
	m := &schema.Member{Vm: vm, Cell: cell, Zone: vm, Rack: vm, Incarnation: 1, Version: 1, Capacity: &schema.Size{CpuMilli: 8000}}
	h.members.Announce(h.now, m)
	req := &schema.BeatRequest{Member: m, Results: results, First: true}
	for _, ref := range running {
		req.Attempts = append(req.Attempts, &schema.Attempt{Task: ref})
	}
	reply := &schema.BeatReply{}
	h.leader.Beat(h.now, req, reply)
	return reply
}

// evicted returns the attempts that a reply tells the VM to evict.
func evicted(reply *schema.BeatReply) []*schema.Assignment {
	var list []*schema.Assignment
	for _, a := range reply.GetAssignments() {
		if a.GetEvict() {
			list = append(list, a)
		}
	}
	return list
}

// replicasOn returns a state in which the replicas of a service are granted to vms.
func replicasOn(vms ...string) *schema.State {
	job := &schema.JobState{
		Accept: &schema.JobAccept{
			Job: "service:t/s", Team: "t", Kind: "s", Tasks: uint32(len(vms)), Size: &schema.Size{CpuMilli: 1000},
		},
		Cell: cell, Service: true,
	}
	for _, vm := range vms {
		job.Tasks = append(job.Tasks, &schema.TaskState{State: uint32(fold.Granted), Epoch: 1, Vm: vm})
	}
	return &schema.State{
		Writers: []*schema.WriterState{hello(writerID, "entry", 70)},
		Teams:   []*schema.TeamState{{Team: "t", Revision: 1, Body: []byte(`{"services": {"s": {"replicas": 4, "cpu": 1, "memory": "0GB"}}}`)}},
		Jobs:    []*schema.JobState{job},
	}
}

// Replicas are placed when the first VMs are known. If these VMs fail and drain before the
// replicas have spread, the service is away until the leases expire.
var _ = Describe("Replicas that share VMs", func() {
	It("move one by one to VMs without one, and stay there", func() {
		h := newHarness(replicasOn("vm-1", "vm-1", "vm-1"))
		h.advance(300 * time.Millisecond) // renews the term
		var running []*schema.TaskRef
		for i := range uint32(3) {
			running = append(running, &schema.TaskRef{Job: "service:t/s", Index: i, Epoch: 1})
		}
		for range 2 {
			h.heartbeatOf("vm-1", running)
			h.heartbeat("vm-2")
			h.heartbeat("vm-3")
			h.advance(time.Second)
			evicts := evicted(h.heartbeatOf("vm-1", running))
			Expect(evicts).To(HaveLen(1))
			running = slices.DeleteFunc(running, func(r *schema.TaskRef) bool { return r.Index == evicts[0].GetTask().Index })
			h.heartbeatOf("vm-1", running, &schema.Result{Task: evicts[0].GetTask(), Outcome: schema.Outcome_OUTCOME_EVICTED})
			h.advance(600 * time.Millisecond)
		}
		for range 4 {
			for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
				reply := h.heartbeat(vm)
				Expect(reply.GetAssignments()).To(HaveLen(1))
				Expect(evicted(reply)).To(BeEmpty())
			}
			h.advance(time.Second)
		}
	})

	It("move all at once while none of them has started", func() {
		h := newHarness(replicasOn("vm-1", "vm-1", "vm-1"))
		h.advance(300 * time.Millisecond) // renews the term
		h.heartbeat("vm-1")
		h.heartbeat("vm-2")
		h.heartbeat("vm-3")
		h.advance(time.Second)
		Expect(evicted(h.heartbeat("vm-1"))).To(HaveLen(2))
	})

	It("stay while no other VM has capacity for them", func() {
		h := newHarness(replicasOn("vm-1", "vm-1", "vm-2"))
		h.advance(300 * time.Millisecond) // renews the term
		for range 4 {
			Expect(evicted(h.heartbeat("vm-1"))).To(BeEmpty())
			Expect(evicted(h.heartbeat("vm-2"))).To(BeEmpty())
			h.advance(time.Second)
		}
	})
})
