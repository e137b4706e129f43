package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// planInterval is how long a plan stays valid.
	planInterval = 100 * time.Millisecond
	// plannedCPUShare is the share of the processors that a plan counts on.
	plannedCPUShare = 0.9
	// recentCoresShare is the share of the processors that best-effort tasks used recently on
	// which a plan for them counts: a part is used by runs of jobs that will be late.
	recentCoresShare = 0.85
	// recentCoresDelay is how long after a change of leader plans count on all free processors
	// instead: not all VMs have reported yet, and after a loss of power all runs have just begun.
	recentCoresDelay = 1500 * time.Millisecond
	// baseValue is the part of a job's value that does not grow with its work, maxValue an
	// upper bound. Both are relative to a job with the mean work of its queue.
	baseValue, maxValue = 0.3, 4.0
)

// onTimePlan decides which jobs are to meet their objectives if there is not enough
// capacity for all. The zero value is an empty plan.
type onTimePlan struct {
	// plannedAt is when the plan was made, zero if a new one is due.
	plannedAt time.Time
	// late holds the job occurrences that cannot be on time, or that are planned to be late
	// because other jobs gain more from the same processors. The step of the keys is 0.
	late map[plan.StageKey]bool
	// objectives holds when the occurrences in the plan should be completed. The step of
	// the keys is 0.
	objectives map[plan.StageKey]time.Time
	// inProgress holds the remaining time of the longest present run of each stage.
	inProgress map[plan.StageKey]time.Duration
	// recentCores holds the mean number of processors that best-effort tasks used
	// recently. It has only the services in which best-effort tasks were waiting for
	// processors meanwhile.
	recentCores map[string]*movingAverage
	// starved holds the services in which a best-effort task found no VM since the
	// previous plan.
	starved map[string]bool
	// queueWork holds the mean work of each queue's jobs, in core-seconds.
	queueWork map[string]*movingAverage
}

// noteAccepted adds the work of a new job, in core-seconds, and makes a new plan due.
func (o *onTimePlan) noteAccepted(e *table.Entry, work float64) {
	if o.queueWork == nil {
		o.queueWork = map[string]*movingAverage{}
	}
	m := o.queueWork[e.Job.Queue.Name]
	if m == nil {
		m = &movingAverage{}
		o.queueWork[e.Job.Queue.Name] = m
	}
	m.add(work)
	o.plannedAt = time.Time{}
}

// restoreWork sets the mean work of a queue's jobs, in core-seconds, from a record.
func (o *onTimePlan) restoreWork(queue string, work float64, jobs int) {
	if o.queueWork == nil {
		o.queueWork = map[string]*movingAverage{}
	}
	o.queueWork[queue] = &movingAverage{value: work, n: jobs}
}

// jobValue returns the relative value of a job with the given work to its caller.
func (o *onTimePlan) jobValue(queue string, work float64) float64 {
	m := o.queueWork[queue]
	if m == nil || m.value <= 0 {
		return 1
	}
	return min(baseValue+(1-baseValue)*work/m.value, maxValue)
}

// plan decides which jobs are to be on time, if a new plan is due.
func (p *pass) plan() {
	o := &p.l.onTimePlan
	if !o.plannedAt.IsZero() && p.now.Sub(o.plannedAt) < planInterval {
		return
	}
	o.plannedAt = p.now
	p.noteRecentCores()
	progress := p.stageProgress()
	demands := map[jobClass][]plan.Demand{}
	for _, e := range p.l.table.Active() {
		if e.Job.LongRunning() {
			continue
		}
		for k := range e.Job.Occurrences() {
			if c, d, ok := p.remainingDemand(e, k, progress); ok {
				demands[c] = append(demands[c], d)
			}
		}
	}
	late, objectives := map[plan.StageKey]bool{}, map[plan.StageKey]time.Time{}
	for c, list := range demands {
		for i := range list {
			objectives[list[i].Key] = list[i].Objective
		}
		cores := plannedCPUShare * p.coresFor(c)
		for key := range plan.LateJobs(p.now, cores, list) {
			late[key] = true
			if !o.late[key] {
				p.l.log.Info("job is not planned to be on time", "req", key.Job, "occurrence", key.Occurrence,
					"priority", c.priority, "cores", int(cores), "jobs", len(list), "epoch", p.l.epoch)
			}
		}
	}
	o.late, o.objectives = late, objectives
}

// remainingDemand returns the class of a job and the remaining work of one of its
// occurrences. It returns false if the occurrence is not due yet or has no work left.
// progress is the result of stageProgress.
func (p *pass) remainingDemand(e *table.Entry, occurrence int, progress map[plan.StageKey]float64) (jobClass, plan.Demand, bool) {
	n := len(e.Job.Steps)
	first := &e.Stages[occurrence*n]
	if p.now.Before(e.Job.Due(occurrence)) {
		return jobClass{}, plan.Demand{}, false
	}
	w := p.l.describeStage(e, first)
	d := plan.Demand{Key: w.Key, Objective: w.Objective, RemainingTime: w.RemainingTime, Begun: e.Begun(occurrence)}
	totalWork := 0.0
	for i := range n {
		st := &e.Stages[occurrence*n+i]
		perTask := p.l.taskWork(e, i)
		totalWork += perTask * float64(e.Job.Steps[i].Tasks)
		open := float64(st.Open) - progress[plan.StageKey{Job: e.Job.ID, Occurrence: occurrence, Step: i}]
		d.CoreSeconds += perTask * max(0, open)
	}
	d.Value = p.l.onTimePlan.jobValue(e.Job.Queue.Name, totalWork)
	c := jobClass{service: p.serviceOf(e), priority: e.Job.Queue.Priority, bestEffort: e.Job.Steps[0].BestEffort}
	return c, d, d.CoreSeconds > 0
}

// taskWork returns the expected processor time of one task of a step, in core-seconds.
func (l *Leader) taskWork(e *table.Entry, step int) float64 {
	return l.durations.expect(e, step).Seconds() * float64(e.Job.Steps[step].Size.CPU) / 1000
}

// jobWork returns the expected processor time of a job, in core-seconds.
func (l *Leader) jobWork(e *table.Entry) float64 {
	work := 0.0
	for i := range e.Job.Steps {
		work += l.taskWork(e, i) * float64(e.Job.Steps[i].Tasks)
	}
	return work
}

// stageProgress returns the completed fractions of the present runs, summed by stage, and
// updates the plan's remaining times.
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

// remainingRunTime returns how long a run still takes at the expected speed.
func (l *Leader) remainingRunTime(now time.Time, r *run) time.Duration {
	total := l.durations.expect(r.entry, r.ref.Step)
	at := r.since
	if !r.progress.lastAt.IsZero() {
		at = r.progress.lastAt
	}
	return max(0, total*time.Duration(100-r.progress.last)/100-now.Sub(at))
}

// noteRecentCores updates recentCores. Throttling may leave best-effort tasks fewer
// processors than are free, so plans rely on what they used recently.
func (p *pass) noteRecentCores() {
	o := &p.l.onTimePlan
	if p.now.Sub(p.l.since) < recentCoresDelay {
		return
	}
	if o.recentCores == nil {
		o.recentCores = map[string]*movingAverage{}
	}
	used := map[string]float64{}
	for _, v := range p.vms {
		used[v.placement.Service] += v.bestEffortUse
	}
	for service, cores := range used {
		if !o.starved[service] {
			delete(o.recentCores, service)
			continue
		}
		if o.recentCores[service] == nil {
			o.recentCores[service] = &movingAverage{}
		}
		o.recentCores[service].add(cores)
	}
	o.starved = map[string]bool{}
}

// plannedLate reports whether the plan lets an occurrence of a job miss its objective.
func (o *onTimePlan) plannedLate(id model.ID, occurrence int) bool {
	return o.late[plan.StageKey{Job: id, Occurrence: occurrence}]
}

// noteStarved records that no VM of a service had capacity for a best-effort task.
func (o *onTimePlan) noteStarved(service string) {
	if o.starved == nil {
		o.starved = map[string]bool{}
	}
	o.starved[service] = true
}
