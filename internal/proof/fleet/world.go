// Package fleet runs the real decisions of leaders and agents in virtual time, with
// workers, a store and connections that fail on command.
//
// Witnesses at the workers and at the callers judge what came of it; nothing is asked
// of the scheduler itself.
package fleet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/proof/vtime"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Latencies of the world.
const (
	hop       = time.Millisecond
	storeTime = 2 * time.Millisecond
	callTime  = time.Millisecond
)

// Start is when a world begins.
var Start = time.Unix(1_800_000_000, 0)

// World is a set of entries, agents and workers. Make it with New.
type World struct {
	vtime.Loop
	Store   topics.Store
	Witness tasks.Witness
	// Late is the share of orders to workers that get no answer and are carried out 2
	// to 12 s later.
	Late    float64
	Entries []*Entry
	Agents  []*Agent
	Callers Callers
	rng     *rand.Rand
	log     *slog.Logger
	epoch   uint64
	conns   uint64
}

// New returns a world of entries and VMs that begins to run.
func New(seed uint64, entries, vms int, log *slog.Logger) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, seed)), log: log}
	w.Now = Start
	w.Callers.world = w
	w.Witness.Dependencies = w.Callers.before
	for i := range entries {
		w.Entries = append(w.Entries, &Entry{world: w, name: fmt.Sprintf("entry-%d", i)})
	}
	for i := range vms {
		w.Agents = append(w.Agents, newAgent(w, i))
	}
	w.supervise()
	return w
}

// capacity is the size of each VM.
var capacity = place.Resources{CPU: 16000, Memory: 64000}

// plan says how the runs of the callers' tasks go.
func (w *World) plan(task string, run uint32) tasks.Plan {
	ref, err := model.ParseTaskRef(task)
	if err != nil {
		return tasks.Plan{Work: time.Second}
	}
	job := w.Callers.jobs[ref.Job]
	if job == nil {
		return tasks.Plan{Work: time.Second}
	}
	step := job.work.Steps[ref.Step]
	return tasks.Plan{Size: step.ResourceRequest(), Work: step.Estimate, Fails: run == 1 && ref.Index == 3}
}

// supervise lets an entry lead whenever none does that can.
func (w *World) supervise() {
	w.After(100*time.Millisecond, w.supervise)
	for _, e := range w.Entries {
		if e.able() && e.leader != nil && e.epoch == w.epoch {
			return
		}
	}
	for _, e := range w.Entries {
		if e.able() && e.claim() {
			return
		}
	}
}

// leading returns the entry that leads in the latest epoch, nil if there is none.
func (w *World) leading() *Entry {
	for _, e := range w.Entries {
		if e.leader != nil && e.epoch == w.epoch && !e.Dead && !e.Frozen {
			return e
		}
	}
	return nil
}

// Leader returns the entry that leads, or the first one.
func (w *World) Leader() *Entry {
	if e := w.leading(); e != nil {
		return e
	}
	return w.Entries[0]
}
