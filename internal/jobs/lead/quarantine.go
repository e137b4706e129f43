package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

const (
	// quarantineDivisor is the divisor by which the number of a service's VMs gives how many of
	// them may be in quarantine or held for it at the same time, at least 1.
	quarantineDivisor = 4
	// holdDuration is how long a VM gets no work so that a suspect can start there once the
	// other runs are proven.
	holdDuration = 1200 * time.Millisecond
	// maxQuarantineWait is how long a suspect waits for quarantine. After that, it is placed
	// like other tasks.
	maxQuarantineWait = 2 * time.Second
	// sameCauseWithin is the time between crashes of different workers up to which these are
	// expected to have a common cause, which no task is.
	sameCauseWithin = 50 * time.Millisecond
)

// latestCrash is the latest crash of a worker that was counted at a task.
type latestCrash struct {
	at   time.Time
	vm   string
	runs []model.TaskRef
}

// noteCrash records a crash. If another worker crashed just before, the suspects of both need
// not wait for quarantine.
func (l *Leader) noteCrash(now time.Time, vm string, runs []model.TaskRef) {
	if len(runs) == 0 {
		return
	}
	if l.latestCrash.vm != vm && now.Sub(l.latestCrash.at) <= sameCauseWithin {
		for _, ref := range slices.Concat(l.latestCrash.runs, runs) {
			l.suspectSince[ref] = time.Time{}
		}
	}
	l.latestCrash = latestCrash{now, vm, runs}
}

// quarantined reports whether the VM gets no work because of a suspect.
func (v *vm) quarantined(now time.Time) bool {
	return v.inQuarantine > 0 || now.Before(v.heldUntil)
}

// quarantine keeps other work away from the VM until a run of a suspect is proven.
func (v *vm) quarantine(r *run) {
	r.inQuarantine = true
	v.inQuarantine++
	v.heldUntil = time.Time{}
	v.placement.Quarantined = true
}

// suspect is a waiting task that may have crashed a worker.
type suspect struct {
	task    *plan.Task
	e       *table.Entry
	st      *table.Stage
	index   int
	crashes int
	since   time.Time
}

// placeSuspects places the suspects among the waiting tasks, each on a VM without other
// unproven runs, so that a further crash shows whether the suspect is the cause. If there is no
// such VM, it holds one. Gangs are left to placeGang.
func (p *pass) placeSuspects(stages []plan.WaitingStage) {
	list := p.suspects(stages)
	if len(list) == 0 {
		return
	}
	total, spare := map[string]int{}, map[string]int{}
	for _, v := range p.vms {
		total[v.info.Service]++
		if v.quarantined(p.now) {
			spare[v.info.Service]--
		}
	}
	for service, n := range total {
		spare[service] += max(1, n/quarantineDivisor)
	}
	began := p.l.Work()
	for i := range list {
		if p.l.Work()-began >= maxPassWork {
			return // a later pass places the others, as suspects or like other tasks
		}
		p.placeSuspect(&list[i], spare)
	}
}

// suspects returns the suspects among the waiting tasks, those with most crashes first.
func (p *pass) suspects(stages []plan.WaitingStage) []suspect {
	var list []suspect
	p.l.work += uint64(len(stages))
	for i := range stages {
		if !p.mayStart(&stages[i]) {
			continue
		}
		e := p.l.table.Get(stages[i].Key.Job)
		if !e.HasCrashes() {
			continue
		}
		st := stageOf(e, stages[i].Key)
		if e.StepOf(st).Gang {
			continue
		}
		p.l.work += uint64(len(st.Waiting))
		for _, index := range st.Waiting {
			ref := e.Ref(st, index)
			if n := len(e.Crashes(ref)); e.Suspect(ref, 0) {
				if _, ok := p.l.suspectSince[ref]; !ok {
					p.l.suspectSince[ref] = p.now
				}
				task := p.taskOf(&stages[i], e, st)
				task.Avoid = slices.Concat(task.Avoid, p.l.failedVMs(e, st, index))
				list = append(list, suspect{task, e, st, index, n, p.l.suspectSince[ref]})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b suspect) int {
		if c := cmp.Compare(b.crashes, a.crashes); c != 0 {
			return c
		}
		return a.since.Compare(b.since)
	})
	return list
}

// placeSuspect places a suspect in quarantine or holds a VM for it. spare holds the number of
// further VMs of each service that may be used for this.
func (p *pass) placeSuspect(s *suspect, spare map[string]int) {
	ref, service := s.e.Ref(s.st, s.index), s.task.Service
	if p.now.Sub(s.since) > maxQuarantineWait {
		return // placeStage places it
	}
	if v := p.chooseFor(s, func(v *vm) bool { return v.unproven == 0 && (spare[service] > 0 || p.now.Before(v.heldUntil)) }); v != nil {
		if !p.now.Before(v.heldUntil) {
			spare[service]--
		}
		delete(p.l.suspectSince, ref)
		v.quarantine(p.assign(s.e, s.st, s.index, v, 0))
		return
	}
	if s.task.NeedsTicket && len(s.task.Tickets) == 0 {
		p.wantAdvice(s.task, s.e, s.st)
	}
	if spare[service] <= 0 {
		return
	}
	if v := p.chooseFor(s, func(v *vm) bool { return !v.quarantined(p.now) }); v != nil {
		spare[service]--
		v.heldUntil = p.now.Add(holdDuration)
		v.placement.Quarantined = true
	}
}

// chooseFor returns the best VM for a suspect of those for which allowed returns true, or nil.
// It includes VMs that are held.
func (p *pass) chooseFor(s *suspect, allowed func(*vm) bool) *vm {
	var placement []*plan.VM
	var vms []*vm
	p.l.work += uint64(len(p.vms))
	for _, v := range p.vms {
		if allowed(v) && v.inQuarantine == 0 && !v.reservedForOther(p.now, s.task.Key) {
			candidate := v.placement
			candidate.Quarantined = false
			placement, vms = append(placement, &candidate), append(vms, v)
		}
	}
	if i := plan.Choose(s.task, placement); i >= 0 {
		return vms[i]
	}
	return nil
}

// nextWaiting returns the index of the next waiting task of a stage that need not wait for
// quarantine, or a negative number.
func (p *pass) nextWaiting(e *table.Entry, st *table.Stage) int {
	if !e.HasCrashes() {
		return st.Waiting[0]
	}
	for _, index := range st.Waiting {
		ref := e.Ref(st, index)
		if since, ok := p.l.suspectSince[ref]; !ok || p.now.Sub(since) > maxQuarantineWait {
			return index
		}
	}
	return -1
}
