package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.1
	// minQueueSamples is the number of run times from which the mean of a queue is used.
	minQueueSamples = 8
	// maxTracked bounds the number of elements of maps by stage, by task or by pair of
	// images. A map that exceeds it is emptied.
	maxTracked = 4096
	// minRunTime is the lower bound to which callers' shorter estimates of run times are
	// raised.
	minRunTime = 20 * time.Millisecond
)

// durationEstimates estimates the run times of tasks from those that ended, since callers'
// estimates may be far off. The zero value is empty.
type durationEstimates struct {
	// queueRatio holds the mean ratio of run time to the caller's estimate, by queue.
	queueRatio map[string]*movingAverage
	// stageRunTime holds the mean run time, in nanoseconds, of steps of which a task has
	// ended. The occurrence of the keys is 0.
	stageRunTime map[plan.StageKey]*movingAverage
	// failedVMs holds the VMs on which each task failed.
	failedVMs map[model.TaskRef][]string
}

// movingAverage is the mean of the first samples, and an exponential moving average
// afterwards.
type movingAverage struct {
	value float64
	n     int
}

// add adds a sample.
func (m *movingAverage) add(x float64) {
	m.n++
	m.value += (x - m.value) * max(sampleWeight, 1/float64(m.n))
}

// expect returns the expected run time of a step's tasks: the mean of the step, else the
// caller's estimate corrected by the mean ratio of the queue.
func (d *durationEstimates) expect(e *table.Entry, step int) time.Duration {
	if m := d.stageRunTime[plan.StageKey{Job: e.Job.ID, Step: step}]; m != nil {
		return time.Duration(m.value)
	}
	est := max(e.Job.Steps[step].Estimate, minRunTime)
	if m := d.queueRatio[e.Job.Queue.Name]; m != nil && m.n >= minQueueSamples {
		return time.Duration(float64(est) * m.value)
	}
	return est
}

// runTime returns the mean run time of a step's tasks, or false if none has ended.
func (d *durationEstimates) runTime(e *table.Entry, step int) (time.Duration, bool) {
	m := d.stageRunTime[plan.StageKey{Job: e.Job.ID, Step: step}]
	if m == nil {
		return 0, false
	}
	return time.Duration(m.value), true
}

// noteDone adds the run time of a completed run. Best-effort and long-running steps are not
// counted.
func (d *durationEstimates) noteDone(e *table.Entry, step int, took time.Duration) {
	if d.queueRatio == nil || len(d.stageRunTime) > maxTracked {
		d.queueRatio, d.stageRunTime = map[string]*movingAverage{}, map[plan.StageKey]*movingAverage{}
	}
	s := &e.Job.Steps[step]
	if s.BestEffort || s.LongRunning {
		return
	}
	m := d.queueRatio[e.Job.Queue.Name]
	if m == nil {
		m = &movingAverage{}
		d.queueRatio[e.Job.Queue.Name] = m
	}
	m.add(float64(took) / float64(max(s.Estimate, minRunTime)))
	key := plan.StageKey{Job: e.Job.ID, Step: step}
	if d.stageRunTime[key] == nil {
		d.stageRunTime[key] = &movingAverage{}
	}
	d.stageRunTime[key].add(float64(took))
}

// noteFailed records that a run of a task failed on a VM.
func (d *durationEstimates) noteFailed(ref model.TaskRef, vm string) {
	if d.failedVMs == nil || len(d.failedVMs) > maxTracked {
		d.failedVMs = map[model.TaskRef][]string{}
	}
	d.failedVMs[ref] = append(d.failedVMs[ref], vm)
}

// criticalPath returns the expected run time of the longest chain of steps of an
// occurrence, in total and for the part that remains. inProgress holds the remaining time
// of stages with present runs. It shortens the expected time of stages of which no task
// waits.
func (d *durationEstimates) criticalPath(e *table.Entry, occurrence int, inProgress map[plan.StageKey]time.Duration) (total, remaining time.Duration) {
	n := len(e.Job.Steps)
	totals, remainings := make([]time.Duration, n), make([]time.Duration, n)
	for i := range n {
		var before, left time.Duration
		for _, a := range e.Job.Steps[i].After {
			before, left = max(before, totals[a]), max(left, remainings[a])
		}
		run := d.expect(e, i)
		totals[i], remainings[i] = before+run, left
		st := &e.Stages[occurrence*n+i]
		if rest, ok := inProgress[plan.StageKey{Job: e.Job.ID, Occurrence: occurrence, Step: i}]; ok && len(st.Waiting) == 0 {
			run = min(run, rest)
		}
		if st.Open > 0 {
			remainings[i] += run
		}
		total, remaining = max(total, totals[i]), max(remaining, remainings[i])
	}
	return total, remaining
}
