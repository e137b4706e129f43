package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// planEvery is how long a plan of which jobs can be on time holds.
	planEvery = 100 * time.Millisecond
	// planShare is the part of the processors that a plan counts on.
	planShare = 0.9
	// paceMargin is the part of the fillers' recent use that a plan counts on.
	paceMargin = 1.1
	// fixedWorth is the part of a job's worth that does not grow with its work,
	// mostWorth bounds the worth, as multiples of the mean of the job's queue.
	fixedWorth, mostWorth = 0.3, 4.0
)

// timely is the plan of which jobs are to meet their objectives. Its zero value plans
// nothing.
type timely struct {
	at time.Time
	// untimely holds the jobs that are late whatever is done, or whose processors gain
	// more elsewhere; keys have step 0.
	untimely map[plan.StageKey]bool
	// underWay holds how long the runs of each stage still take, the longest counts.
	underWay map[plan.StageKey]time.Duration
	// pace is how many cores of fillers the VMs have carried lately, per service, where
	// more waited.
	pace map[string]*mean
	// starved holds the services whose fillers found no room in the last pass.
	starved map[string]bool
	// works holds the mean work of each queue's jobs, in core-seconds.
	works map[string]*mean
}

// accepted notes the work of a new job.
func (t *timely) accepted(e *table.Entry, work float64) {
	if t.works == nil {
		t.works = map[string]*mean{}
	}
	m := t.works[e.Job.Queue.Name]
	if m == nil {
		m = &mean{}
		t.works[e.Job.Queue.Name] = m
	}
	m.add(work)
	t.at = time.Time{}
}

// recall takes over the mean work of a queue's jobs.
func (t *timely) recall(queue string, work float64, jobs int) {
	if t.works == nil {
		t.works = map[string]*mean{}
	}
	t.works[queue] = &mean{value: work, n: jobs}
}

// worth returns what a job of so much work gains its caller.
func (t *timely) worth(queue string, work float64) float64 {
	m := t.works[queue]
	if m == nil || m.value <= 0 {
		return 1
	}
	return min(fixedWorth+(1-fixedWorth)*work/m.value, mostWorth)
}

// plan decides which jobs can be on time.
func (p *pass) plan() {
	t := &p.l.timely
	if !t.at.IsZero() && p.now.Sub(t.at) < planEvery {
		return
	}
	t.at = p.now
	p.notePace()
	done := p.partsDone()
	demands := map[contest][]plan.Demand{}
	for _, e := range p.l.table.Active() {
		if e.Job.LongRunning() {
			continue
		}
		for k := range e.Job.Occurrences() {
			if c, d, ok := p.demand(e, k, done); ok {
				demands[c] = append(demands[c], d)
			}
		}
	}
	untimely := map[plan.StageKey]bool{}
	for c, list := range demands {
		cores := planShare * p.coresFor(c)
		for key := range plan.LateJobs(p.now, cores, list) {
			untimely[key] = true
			if !t.untimely[key] {
				p.l.log.Info("job is not planned to be on time", "req", key.Job, "occurrence", key.Occurrence,
					"priority", c.priority, "cores", int(cores), "jobs", len(list), "epoch", p.l.epoch)
			}
		}
	}
	t.untimely = untimely
}

// demand returns what is left of an occurrence of a job, false if it is not due.
func (p *pass) demand(e *table.Entry, occurrence int, done map[plan.StageKey]float64) (contest, plan.Demand, bool) {
	n := len(e.Job.Steps)
	first := &e.Stages[occurrence*n]
	if p.now.Before(e.Job.Due(occurrence)) {
		return contest{}, plan.Demand{}, false
	}
	w := p.l.workOf(e, first)
	d := plan.Demand{Key: w.Key, Objective: w.Objective, RemainingTime: w.RemainingTime}
	whole := 0.0
	for i := range n {
		st := &e.Stages[occurrence*n+i]
		perTask := p.l.taskWork(e, i)
		whole += perTask * float64(e.Job.Steps[i].Tasks)
		left := float64(st.Open) - done[plan.StageKey{Job: e.Job.ID, Occurrence: occurrence, Step: i}]
		d.CoreSeconds += perTask * max(0, left)
	}
	d.Value = p.l.timely.worth(e.Job.Queue.Name, whole)
	c := contest{service: p.serviceOf(e), priority: e.Job.Queue.Priority, filler: e.Job.Steps[0].BestEffort}
	return c, d, d.CoreSeconds > 0
}

// taskWork returns the processor time of a step's task, in core-seconds.
func (l *Leader) taskWork(e *table.Entry, step int) float64 {
	return l.learn.expect(e, step).Seconds() * float64(e.Job.Steps[step].Size.CPU) / 1000
}

// jobWork returns the processor time of a job, in core-seconds.
func (l *Leader) jobWork(e *table.Entry) float64 {
	work := 0.0
	for i := range e.Job.Steps {
		work += l.taskWork(e, i) * float64(e.Job.Steps[i].Tasks)
	}
	return work
}

// partsDone returns how much of the tasks under way is done, summed by stage, and notes
// how long they still take.
func (p *pass) partsDone() map[plan.StageKey]float64 {
	done, underWay := map[plan.StageKey]float64{}, map[plan.StageKey]time.Duration{}
	for _, v := range p.l.vms {
		for _, it := range v.runs {
			key := stageKey(it.ref)
			done[key] += float64(it.progress.last) / 100
			underWay[key] = max(underWay[key], p.l.rest(p.now, it))
		}
	}
	p.l.timely.underWay = underWay
	return done
}

// rest returns how long a run still takes if nothing slows it.
func (l *Leader) rest(now time.Time, it *run) time.Duration {
	whole := l.learn.expect(it.entry, it.ref.Step)
	at := it.since
	if !it.progress.lastAt.IsZero() {
		at = it.progress.lastAt
	}
	return max(0, whole*time.Duration(100-it.progress.last)/100-now.Sub(at))
}

// notePace follows how much fillers get done where more of them wait: what they disturb
// may leave them less than the processors that are free.
func (p *pass) notePace() {
	t := &p.l.timely
	if t.pace == nil {
		t.pace = map[string]*mean{}
	}
	used := map[string]float64{}
	for _, v := range p.vms {
		used[v.room.Service] += v.fillerUse
	}
	for service, cores := range used {
		if !t.starved[service] {
			delete(t.pace, service)
			continue
		}
		if t.pace[service] == nil {
			t.pace[service] = &mean{}
		}
		t.pace[service].add(cores)
	}
	t.starved = map[string]bool{}
}

// untimelyOf reports whether the plan gives up an occurrence's objective.
func (t *timely) untimelyOf(id model.ID, occurrence int) bool {
	return t.untimely[plan.StageKey{Job: id, Occurrence: occurrence}]
}

// starve notes that a filler of a service found no room.
func (t *timely) starve(service string) {
	if t.starved == nil {
		t.starved = map[string]bool{}
	}
	t.starved[service] = true
}
