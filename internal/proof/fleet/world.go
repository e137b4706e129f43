// Package fleet runs the real decision code of leaders and agents in virtual time, with
// simulated workers, a simulated store and simulated connections into which faults are
// injected.
//
// The results are checked by what the workers and the callers observed, independently of the
// scheduler's own state.
package fleet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
	"github.com/ebonyarch/ebonyarch/internal/proof/vtime"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Delays, each in one direction.
const (
	// messageDelay is the delay between an entry and an agent or a caller.
	messageDelay = time.Millisecond
	// storeDelay is the delay between an entry and the store.
	storeDelay = 2 * time.Millisecond
	// callDelay is the delay between an agent and its worker.
	callDelay = time.Millisecond
)

// Start is the virtual time at which a world begins.
var Start = time.Unix(1_800_000_000, 0)

// World is a set of entries, agents with workers, callers and a store. Create it with New.
type World struct {
	vtime.Loop
	Store   topics.Store
	Witness tasks.Witness
	// DelayedShare is the fraction of orders to workers that get no response and are executed
	// 2 to 12 s later.
	DelayedShare float64
	// CopiedShare is the fraction of the first tries of starts that get no response, and of which a
	// copy is executed once the worker has started again.
	CopiedShare float64
	// DelayedPollShare is the fraction of polls that get no response and are executed 1 to 5 s later.
	DelayedPollShare float64
	// HeartbeatAtStart is set if workers send a heartbeat as soon as they have started again.
	// Otherwise the first one follows up to heartbeatInterval later.
	HeartbeatAtStart bool
	// Late counts the orders that were executed late, and the times until polls reached workers
	// that had started again.
	Late Late
	// KeepIDs is set if a worker that a task crashed starts again under its id. Otherwise another
	// worker takes its place.
	KeepIDs bool
	// Gangs is set if the first step of the jobs that are submitted from now on is a gang.
	Gangs bool
	// OrdersEndWithWorker is set if an order that is executed late is dropped when the worker's
	// incarnation that received it has ended.
	OrdersEndWithWorker bool
	// RefusedShare is the fraction of the other orders that workers refuse as unhealthy.
	RefusedShare float64
	// RefusalDelay is the longest time after which a refusal arrives; 0 means callDelay.
	RefusalDelay time.Duration
	// OnAccepted, if set, is called each time a caller has received the acceptance of a job.
	OnAccepted func()
	// TaskTime is the run time of the tasks of jobs that are submitted from now on; 0 means
	// defaultTaskTime.
	TaskTime time.Duration
	Entries  []*Entry
	Agents   []*Agent
	Callers  Callers
	// LateAppendShare is the fraction of appends that get no response and are executed 1 to 6 s
	// later.
	LateAppendShare float64
	// PauseAtStartShare is the fraction of starts at whose sending the agent is paused.
	PauseAtStartShare float64
	rng, callerRNG    *rand.Rand
	log               *slog.Logger
	// epoch is the latest epoch that an entry has claimed, perhaps without success.
	epoch uint64
	// disruptedAt is when something was last disrupted, coreDisruptedAt when the store was. The
	// latter goes on until coreDisruptedUntil.
	disruptedAt, coreDisruptedAt, coreDisruptedUntil time.Time
	// conns is the number of connections opened so far.
	conns uint64
}

// New returns a world with the given numbers of entries and VMs, at Start.
func New(seed uint64, entries, vms int, log *slog.Logger) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, seed)), callerRNG: rand.New(rand.NewPCG(seed, ^seed)), log: log}
	w.Now, w.disruptedAt, w.coreDisruptedAt = Start, Start, Start
	w.Callers.world = w
	w.Witness.Dependencies = w.Callers.dependencies
	for i := range entries {
		w.Entries = append(w.Entries, &Entry{world: w, name: fmt.Sprintf("entry-%d", i), requests: &relay.Requests{}})
	}
	for i := range vms {
		w.Agents = append(w.Agents, newAgent(w, i))
	}
	w.electLeader()
	w.follow()
	return w
}

// capacity is the size of each VM.
var capacity = place.Resources{CPU: 16000, Memory: 64000}

// plan returns the behavior of a run of a task. The first run of the last task of each step
// fails. The third task of each step of a deadly job crashes its worker.
func (w *World) plan(task string, run uint32) tasks.Plan {
	ref, err := model.ParseTaskRef(task)
	if err != nil {
		return tasks.Plan{Work: time.Second}
	}
	job := w.Callers.jobs[ref.Job]
	if job == nil {
		return tasks.Plan{Work: time.Second}
	}
	step := job.spec.Steps[ref.Step]
	members := 0
	if step.Gang {
		members = step.Tasks
	}
	return tasks.Plan{
		Size: step.ResourceRequest(), Work: step.Estimate, Fails: run == 1 && ref.Index == 3, Crashes: job.deadly && ref.Index == 2, Members: members,
		SaveInterval: saveInterval, Checkpoint: func(n int) string { return fmt.Sprintf("%s run %d save %d %s", task, run, n, unusualText) },
	}
}

const (
	// saveInterval is the work between two checkpoints of a run.
	saveInterval = 200 * time.Millisecond
	// unusualText is part of each checkpoint, to show whether all text is carried unchanged.
	unusualText = "\x00\"\\<\u00e9\u2028\ufffd\U0001f600"
)

// electLeader lets the first entry that can lead claim the leadership, unless such an entry
// leads in the latest epoch already. It schedules itself every 100 ms.
func (w *World) electLeader() {
	w.After(100*time.Millisecond, w.electLeader)
	for _, e := range w.Entries {
		if (e.canLead() || e.unnoticed()) && e.leader != nil && e.epoch == w.epoch {
			return
		}
	}
	for _, e := range w.Entries {
		if e.canLead() && e.claim() {
			return
		}
	}
}

// leading returns the running entry that leads in the latest epoch, nil if there is none.
func (w *World) leading() *Entry {
	for _, e := range w.Entries {
		if e.leader != nil && e.epoch == w.epoch && !e.Dead && !e.Frozen {
			return e
		}
	}
	return nil
}

// Leader returns the entry that leads, or the first entry if none does.
func (w *World) Leader() *Entry {
	if e := w.leading(); e != nil {
		return e
	}
	return w.Entries[0]
}
