package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Stats counts the decisions and events of a leadership. The state dump shows the fields
// in JSON under their Go names.
type Stats struct {
	Accepted, Refused, Cancelled   uint64
	Started, Preempted             uint64
	Moved, Copied                  uint64
	Done, Failed, Lost, OtherEnds  uint64
	Batches, Records, BytesWritten uint64
	// Rejected counts the batches that the store rejected for what they held, Unstorable the jobs
	// that were given up because of that.
	Rejected, Unstorable uint64
	// LostRefused counts those of the Lost runs that their workers refused, LostWithVM those that
	// ended with their worker or its lease. Agents gave up the others.
	LostRefused, LostWithVM uint64
	// Crashes counts the runs that may be the cause of a worker's crash, GivenUp the jobs that
	// failed because of such crashes.
	Crashes, GivenUp uint64
	// CutPasses counts the placement passes that left stages to the next one, StagesLeft is how many
	// the latest pass left.
	CutPasses, StagesLeft uint64
	// SurplusJobs is the number of searches for runs of jobs to stop that are under way.
	SurplusJobs uint64
	// RefusedFull counts those of the Refused jobs for which there was no memory, JobMemory is what
	// the jobs take, in bytes.
	RefusedFull, JobMemory uint64
}

// Stats returns the counts so far.
func (l *Leader) Stats() Stats {
	s := l.stats
	s.JobMemory, s.SurplusJobs = uint64(l.table.Memory()), uint64(len(l.surplus))
	return s
}

// State is the state of a leader as shown to operators.
type State struct {
	StoreAge time.Duration  `json:"storeAge"`
	Jobs     map[string]int `json:"jobs"`
	// WaitingTasks is the number of tasks that could start if there were capacity.
	WaitingTasks int       `json:"waitingTasks"`
	VMs          []VMState `json:"vms"`
	Counts       Stats     `json:"counts"`
}

// VMState is the state of a VM as shown to operators.
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
	LongRunning   int             `json:"lasting"`
	Suspicion     float64         `json:"doubt"`
}

// State returns the leader's state for operators.
func (l *Leader) State(now time.Time) State {
	s := State{StoreAge: l.StoreAge(now), Jobs: map[string]int{}, Counts: l.Stats()}
	for _, e := range l.table.All() {
		s.Jobs[e.State.String()]++
	}
	for _, w := range l.waitingStages(now, l.unexpectedStages()) {
		s.WaitingTasks += len(stageOf(l.table.Get(w.Key.Job), w.Key).Waiting)
	}
	for _, v := range l.sortedVMs() {
		s.VMs = append(s.VMs, VMState{
			ID: v.info.ID, Node: v.info.Node, Zone: v.info.Zone, Synced: v.synced, Draining: v.info.Draining,
			SinceContact: now.Sub(v.lastContact), Capacity: v.info.Capacity, Used: v.placement.Used, BestEffortCPU: v.placement.BestEffortCPU,
			Runs: len(v.runs), LongRunning: v.placement.LongRunning, Suspicion: v.health.suspicion(now),
		})
	}
	return s
}

// stageOf returns the stage of a job with the given key.
func stageOf(e *table.Entry, key plan.StageKey) *table.Stage {
	return &e.Stages[key.Occurrence*len(e.Job.Steps)+key.Step]
}
