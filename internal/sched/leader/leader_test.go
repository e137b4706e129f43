package leader_test

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fleet/member"
	"github.com/ebonyarch/ebonyarch/internal/sched/leader"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	cell     = "main"
	writerID = "w1"
	// snapshotInterval is short, so that a snapshot is due soon after the leader's claim.
	snapshotInterval = time.Millisecond
)

// harness drives a leader whose log takes each append at once.
type harness struct {
	leader  *leader.Leader
	members *member.Table
	writer  *writer.Writer
	fold    *fold.Fold
	now     time.Time
	offset  uint64
}

// newHarness returns the leader of term 2, which it has just read from the state.
func newHarness(state *schema.State) *harness {
	h := &harness{writer: writer.New(writerID), members: &member.Table{}, now: time.Unix(1000, 0), offset: 100}
	state.Offset = h.offset
	state.Cells = []*schema.CellState{{Cell: cell, Term: 2, Leader: writerID, ClaimedAt: 90, RenewedAt: 90, Known: 80, PriorKnown: 50}}
	h.fold = fold.Decode(state)
	h.leader = leader.New(cell, h.fold, h.writer, h.members, nil, snapshotInterval, slog.New(slog.DiscardHandler))
	h.leader.Read(h.now)
	return h
}

// advance lets time pass in steps, in each of which the log takes what the leader wrote.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.tick()
		h.takeRecords()
	}
}

// tick lets a step of time pass. The log does not take what the leader writes.
func (h *harness) tick() {
	h.now = h.now.Add(100 * time.Millisecond)
	h.leader.Tick(h.now)
}

// takeRecords lets the log take what the leader wrote, and the leader read it back.
func (h *harness) takeRecords() {
	if data, ok := h.writer.Next(h.now); ok {
		h.writer.Appended(h.now, h.offset, nil)
		for _, r := range h.writer.Applied(h.fold.Apply(h.offset, data)) {
			h.leader.Resolved(h.now, r)
		}
		h.offset++
	}
	h.leader.Read(h.now)
}

// hello returns a writer that joined at an offset.
func hello(id, name string, joinedAt uint64) *schema.WriterState {
	return &schema.WriterState{Writer: id, JoinedAt: joinedAt, Hello: &schema.Hello{Name: name}, SeenMs: time.Unix(1000, 0).UnixMilli()}
}

// grantedJob returns a state with a job whose only task is granted to vm-1.
func grantedJob() *schema.State {
	return &schema.State{
		Writers: []*schema.WriterState{hello(writerID, "entry", 70)},
		Teams:   []*schema.TeamState{{Team: "t", Revision: 1, Body: []byte(`{"batch": {"b": {"cpu": 1}}}`)}},
		Jobs: []*schema.JobState{{
			Accept: &schema.JobAccept{Job: "j", Team: "t", Kind: "b", Tasks: 1, Size: &schema.Size{CpuMilli: 1000}}, Cell: cell,
			Tasks: []*schema.TaskState{{State: uint32(fold.Granted), Epoch: 1, Vm: "vm-1"}},
		}},
	}
}

var _ = Describe("The leader of a cell", func() {
	// A mark without parts would make entries load an empty state.
	It("writes no snapshot if the state cannot be encoded, and tries again later", func() {
		h := newHarness(&schema.State{Writers: []*schema.WriterState{hello(writerID, "entry", 70), hello("w2", "\xff", 10)}})
		h.advance(2 * time.Second)
		Expect(h.leader.Leads(h.now)).To(BeTrue())
		Expect(h.leader.Stats().Snapshots).To(BeZero())
	})

	It("writes snapshots of a state that can be encoded", func() {
		h := newHarness(&schema.State{Writers: []*schema.WriterState{hello(writerID, "entry", 70)}})
		h.advance(2 * time.Second)
		Expect(h.leader.Stats().Snapshots).NotTo(BeZero())
	})

	// The former leader needed the promise of every entry that it knew, so one that it did
	// not get shows that it did not extend its term, whichever entry is looked at first.
	It("waits for no extension that an entry known to the former leader has not promised", func() {
		for n := range 30 {
			state := grantedJob()
			for i := range 8 {
				state.Writers = append(state.Writers, hello(fmt.Sprintf("p%d-%d", n, i), "peer", 10))
			}
			h := newHarness(state)
			for i := range 8 {
				p := &schema.CellPromise{Cell: cell, ReadTerm: 2, Term: 1, LeftMs: time.Hour.Milliseconds()}
				if i == 3 {
					p.Term, p.LeftMs = 0, 0
				}
				h.leader.RecordPeerPromise(h.now, fmt.Sprintf("p%d-%d", n, i), p)
			}
			h.advance(leader.VMLease + time.Duration(leader.ClockMargin*float64(leader.VMLease)) + 200*time.Millisecond)
			Expect(h.leader.Stats().Revocations).To(BeEquivalentTo(1))
		}
	})

	// Its state still showed the attempts as granted, and it assigned them once more.
	It("gives a VM neither a lease nor assignments while it does not know whether the VM was revoked", func() {
		h := newHarness(grantedJob())
		beat := func() *schema.BeatReply {
			reply := &schema.BeatReply{}
			h.leader.Beat(h.now, &schema.BeatRequest{Member: &schema.Member{Vm: "vm-1", Cell: cell}, First: true, GrantsHash: 7}, reply)
			return reply
		}
		for h.leader.Stats().Revocations == 0 {
			h.takeRecords()
			h.tick()
		}
		reply := beat()
		Expect(reply.GetLeaseMs()).To(BeZero())
		Expect(reply.GetAssignments()).To(BeEmpty())
		Expect(reply.GetUnchanged()).To(BeTrue())
		Expect(reply.GetGrantsHash()).To(BeEquivalentTo(7))
		h.advance(time.Second)
		reply = beat()
		Expect(reply.GetLeaseMs()).To(Equal(leader.VMLease.Milliseconds()))
		Expect(reply.GetUnchanged()).To(BeFalse())
	})
})
