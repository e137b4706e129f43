package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// learnRate is the weight of a new run time against those before.
	learnRate = 0.1
	// trusted is the number of run times from which a queue's mean is used.
	trusted = 8
	// maxKnown bounds the stages and tasks remembered.
	maxKnown = 4096
	// leastRun bounds run times from below.
	leastRun = 20 * time.Millisecond
)

// durations learns how long tasks run, since callers' estimates may be far off. Its
// zero value knows nothing.
type durations struct {
	// ratio is the mean of run time by estimate of each queue.
	ratio map[string]*mean
	// stages holds the mean run time of stages of which a task has ended.
	stages map[plan.StageKey]*mean
	// failedOn holds the VMs on which tasks failed.
	failedOn map[model.TaskRef][]string
}

// mean is a mean that follows changes.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x float64) {
	m.n++
	m.value += (x - m.value) * max(learnRate, 1/float64(m.n))
}

// expect returns the expected run time of a step's tasks.
func (d *durations) expect(e *table.Entry, step int) time.Duration {
	if m := d.stages[plan.StageKey{Job: e.Job.ID, Step: step}]; m != nil {
		return time.Duration(m.value)
	}
	est := max(e.Job.Steps[step].Estimate, leastRun)
	if m := d.ratio[e.Job.Queue.Name]; m != nil && m.n >= trusted {
		return time.Duration(float64(est) * m.value)
	}
	return est
}

// whole returns the mean run time of a step of which a task has ended.
func (d *durations) whole(e *table.Entry, step int) (time.Duration, bool) {
	m := d.stages[plan.StageKey{Job: e.Job.ID, Step: step}]
	if m == nil {
		return 0, false
	}
	return time.Duration(m.value), true
}

func (d *durations) done(e *table.Entry, step int, took time.Duration) {
	if d.ratio == nil || len(d.stages) > maxKnown {
		d.ratio, d.stages = map[string]*mean{}, map[plan.StageKey]*mean{}
	}
	s := &e.Job.Steps[step]
	if s.BestEffort || s.LongRunning {
		return
	}
	m := d.ratio[e.Job.Queue.Name]
	if m == nil {
		m = &mean{}
		d.ratio[e.Job.Queue.Name] = m
	}
	m.add(float64(took) / float64(max(s.Estimate, leastRun)))
	key := plan.StageKey{Job: e.Job.ID, Step: step}
	if d.stages[key] == nil {
		d.stages[key] = &mean{}
	}
	d.stages[key].add(float64(took))
}

func (d *durations) failed(ref model.TaskRef, vm string) {
	if d.failedOn == nil || len(d.failedOn) > maxKnown {
		d.failedOn = map[model.TaskRef][]string{}
	}
	d.failedOn[ref] = append(d.failedOn[ref], vm)
}

// chain returns the run time of the longest chain of steps of an occurrence, as a
// whole and of what is not done yet. underWay holds what is left of steps of which all
// open tasks run.
func (d *durations) chain(e *table.Entry, occurrence int, underWay map[plan.StageKey]time.Duration) (whole, left time.Duration) {
	n := len(e.Job.Steps)
	wholes, lefts := make([]time.Duration, n), make([]time.Duration, n)
	for i := range n {
		var w, l time.Duration
		for _, a := range e.Job.Steps[i].After {
			w, l = max(w, wholes[a]), max(l, lefts[a])
		}
		run := d.expect(e, i)
		wholes[i], lefts[i] = w+run, l
		st := &e.Stages[occurrence*n+i]
		if rest, ok := underWay[plan.StageKey{Job: e.Job.ID, Occurrence: occurrence, Step: i}]; ok && len(st.Waiting) == 0 {
			run = min(run, rest)
		}
		if st.Open > 0 {
			lefts[i] += run
		}
		whole, left = max(whole, wholes[i]), max(left, lefts[i])
	}
	return whole, left
}
