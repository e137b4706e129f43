package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// planInterval is how long a plan of which jobs can be on time holds.
	planInterval = 100 * time.Millisecond
	// plannedCPUShare is the part of the processors that a plan counts on.
	plannedCPUShare = 0.9
	// recentCoresMargin is the part of the fillers' recent use that a plan counts on.
	recentCoresMargin = 1.1
	// baseWorth is the part of a job's worth that does not grow with its work,
	// mostWorth bounds the worth, as multiples of the mean of the job's queue.
	baseWorth, maxWorth = 0.3, 4.0
)

// onTimePlan is the plan of which jobs are to meet their objectives. Its zero value plans
// nothing.
type onTimePlan struct {
	plannedAt time.Time
	// late holds the jobs that are late whatever is done, or whose processors gain
	// more elsewhere; keys have step 0.
	late map[plan.StageKey]bool
	// inProgress holds how long the runs of each stage still take, the longest counts.
	inProgress map[plan.StageKey]time.Duration
	// recentCores is how many cores of fillers the VMs have carried lately, per service, where
	// more waited.
	recentCores map[string]*movingAverage
	// starved holds the services whose fillers found no room in the last pass.
	starved map[string]bool
	// queueWork holds the mean work of each queue's jobs, in core-seconds.
	queueWork map[string]*movingAverage
}

// noteAccepted notes the work of a new job.
func (t *onTimePlan) noteAccepted(e *book.Entry, work float64) {
	if t.queueWork == nil {
		t.queueWork = map[string]*movingAverage{}
	}
	m := t.queueWork[e.Job.Queue.Name]
	if m == nil {
		m = &movingAverage{}
		t.queueWork[e.Job.Queue.Name] = m
	}
	m.add(work)
	t.plannedAt = time.Time{}
}

// restoreWork takes over the mean work of a queue's jobs.
func (t *onTimePlan) restoreWork(queue string, work float64, jobs int) {
	if t.queueWork == nil {
		t.queueWork = map[string]*movingAverage{}
	}
	t.queueWork[queue] = &movingAverage{value: work, n: jobs}
}

// worth returns what a job of so much work gains its caller.
func (t *onTimePlan) worth(queue string, work float64) float64 {
	m := t.queueWork[queue]
	if m == nil || m.value <= 0 {
		return 1
	}
	return min(baseWorth+(1-baseWorth)*work/m.value, maxWorth)
}

// plan decides which jobs can be on time.
func (p *pass) plan() {
	t := &p.l.onTimePlan
	if !t.plannedAt.IsZero() && p.now.Sub(t.plannedAt) < planInterval {
		return
	}
	t.plannedAt = p.now
	p.noteRecentCores()
	progress := p.stageProgress()
	demands := map[jobClass][]plan.Demand{}
	for _, e := range p.l.book.Active() {
		if e.Job.Lasting() {
			continue
		}
		for k := range e.Job.Occurrences() {
			if c, d, ok := p.remainingDemand(e, k, progress); ok {
				demands[c] = append(demands[c], d)
			}
		}
	}
	late := map[plan.StageKey]bool{}
	for c, list := range demands {
		cores := plannedCPUShare * p.coresFor(c)
		for key := range plan.Untimely(p.now, cores, list) {
			late[key] = true
			if !t.late[key] {
				p.l.log.Info("job is not planned to be on time", "req", key.Job, "occurrence", key.Occurrence,
					"priority", c.priority, "cores", int(cores), "jobs", len(list), "epoch", p.l.epoch)
			}
		}
	}
	t.late = late
}

// remainingDemand returns what is left of an occurrence of a job, false if it is not due.
func (p *pass) remainingDemand(e *book.Entry, occurrence int, progress map[plan.StageKey]float64) (jobClass, plan.Demand, bool) {
	n := len(e.Job.Steps)
	first := &e.Stages[occurrence*n]
	if p.now.Before(e.Job.Due(occurrence)) {
		return jobClass{}, plan.Demand{}, false
	}
	w := p.l.workOf(e, first)
	d := plan.Demand{Key: w.Key, Objective: w.Objective, Left: w.Left}
	totalWork := 0.0
	for i := range n {
		st := &e.Stages[occurrence*n+i]
		perTask := p.l.taskWork(e, i)
		totalWork += perTask * float64(e.Job.Steps[i].Tasks)
		open := float64(st.Open) - progress[plan.StageKey{Job: e.Job.ID, Occurrence: occurrence, Step: i}]
		d.Work += perTask * max(0, open)
	}
	d.Worth = p.l.onTimePlan.worth(e.Job.Queue.Name, totalWork)
	c := jobClass{service: p.serviceOf(e), priority: e.Job.Queue.Priority, bestEffort: e.Job.Steps[0].Filler}
	return c, d, d.Work > 0
}

// taskWork returns the processor time of a step's task, in core-seconds.
func (l *Leader) taskWork(e *book.Entry, step int) float64 {
	return l.durations.expect(e, step).Seconds() * float64(e.Job.Steps[step].Size.CPU) / 1000
}

// jobWork returns the processor time of a job, in core-seconds.
func (l *Leader) jobWork(e *book.Entry) float64 {
	work := 0.0
	for i := range e.Job.Steps {
		work += l.taskWork(e, i) * float64(e.Job.Steps[i].Tasks)
	}
	return work
}

// stageProgress returns how much of the tasks under way is done, summed by stage, and notes
// how long they still take.
func (p *pass) stageProgress() map[plan.StageKey]float64 {
	done, inProgress := map[plan.StageKey]float64{}, map[plan.StageKey]time.Duration{}
	for _, v := range p.l.vms {
		for _, r := range v.runs {
			key := stageKey(r.ref)
			done[key] += float64(r.progress.last) / 100
			inProgress[key] = max(inProgress[key], p.l.remainingRunTime(p.now, r))
		}
	}
	p.l.onTimePlan.inProgress = inProgress
	return done
}

// remainingRunTime returns how long a run still takes if nothing slows it.
func (l *Leader) remainingRunTime(now time.Time, r *run) time.Duration {
	whole := l.durations.expect(r.entry, r.ref.Step)
	at := r.since
	if !r.progress.lastAt.IsZero() {
		at = r.progress.lastAt
	}
	return max(0, whole*time.Duration(100-r.progress.last)/100-now.Sub(at))
}

// noteRecentCores follows how much fillers get done where more of them wait: what they disturb
// may leave them less than the processors that are free.
func (p *pass) noteRecentCores() {
	t := &p.l.onTimePlan
	if t.recentCores == nil {
		t.recentCores = map[string]*movingAverage{}
	}
	used := map[string]float64{}
	for _, v := range p.vms {
		used[v.placement.Service] += v.bestEffortUse
	}
	for service, cores := range used {
		if !t.starved[service] {
			delete(t.recentCores, service)
			continue
		}
		if t.recentCores[service] == nil {
			t.recentCores[service] = &movingAverage{}
		}
		t.recentCores[service].add(cores)
	}
	t.starved = map[string]bool{}
}

// plannedLate reports whether the plan gives up an occurrence's objective.
func (t *onTimePlan) plannedLate(id model.ID, occurrence int) bool {
	return t.late[plan.StageKey{Job: id, Occurrence: occurrence}]
}

// noteStarved notes that a filler of a service found no room.
func (t *onTimePlan) noteStarved(service string) {
	if t.starved == nil {
		t.starved = map[string]bool{}
	}
	t.starved[service] = true
}
