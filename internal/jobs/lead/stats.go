package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Stats counts a leadership's decisions.
type Stats struct {
	Accepted, Refused, Cancelled   uint64
	Started, Preempted             uint64
	Moved, Copied                  uint64
	Done, Failed, Lost, OtherEnds  uint64
	Batches, Records, BytesWritten uint64
}

// Stats returns the counts so far.
func (l *Leader) Stats() Stats { return l.stats }

// State is what a leader shows of itself.
type State struct {
	StoreAge time.Duration  `json:"storeAge"`
	Jobs     map[string]int `json:"jobs"`
	// WaitingTasks is the number of tasks that could start if they had room.
	WaitingTasks int       `json:"waitingTasks"`
	VMs          []VMState `json:"vms"`
	Counts       Stats     `json:"counts"`
}

// VMState is what a leader shows of a VM.
type VMState struct {
	ID            string          `json:"id"`
	Node          string          `json:"node"`
	Zone          string          `json:"zone"`
	Synced        bool            `json:"synced"`
	Draining      bool            `json:"draining"`
	SinceContact  time.Duration   `json:"heard"`
	Capacity      place.Resources `json:"capacity"`
	Used          place.Resources `json:"used"`
	BestEffortCPU int64           `json:"fillingCPU"`
	Runs          int             `json:"runs"`
	LongRunning       int             `json:"lasting"`
	Suspicion     float64         `json:"doubt"`
}

// State returns what the leader knows, for people.
func (l *Leader) State(now time.Time) State {
	s := State{StoreAge: l.StoreAge(now), Jobs: map[string]int{}, Counts: l.stats}
	for _, e := range l.table.All() {
		s.Jobs[e.State.String()]++
	}
	for _, w := range l.waiting(now) {
		s.WaitingTasks += len(stageOf(l.table.Get(w.Key.Job), w.Key).Waiting)
	}
	for _, v := range l.sortedVMs() {
		s.VMs = append(s.VMs, VMState{
			ID: v.info.ID, Node: v.info.Node, Zone: v.info.Zone, Synced: v.synced, Draining: v.info.Draining,
			SinceContact: now.Sub(v.heardAt), Capacity: v.info.Capacity, Used: v.room.Used, BestEffortCPU: v.room.BestEffortCPU,
			Runs: len(v.runs), LongRunning: v.room.LongRunning, Suspicion: v.health.doubt(now),
		})
	}
	return s
}

// stageOf returns the stage of a job that a key names.
func stageOf(e *table.Entry, key plan.StageKey) *table.Stage {
	return &e.Stages[key.Occurrence*len(e.Job.Steps)+key.Step]
}
