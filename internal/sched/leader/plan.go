package leader

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// maxGrantsPerRecord is the largest number of grants in one record.
	maxGrantsPerRecord = 500
	// maxUnplacedJobs is the number of jobs of which no task could be placed, after
	// which a pass ends.
	maxUnplacedJobs = 50
)

// placeWaiting runs one placement pass over the waiting tasks and proposes the
// grants.
func (l *Leader) placeWaiting(now time.Time) {
	waiting := l.fold.Waiting(l.cell)
	l.dropReservations(now)
	if len(waiting) == 0 {
		return
	}
	p := l.newPass(now)
	unplaced := 0
	for _, job := range waiting {
		if p.grantCount >= maxGrantsPerRecord || unplaced >= maxUnplacedJobs {
			break
		}
		if !p.job(job) {
			unplaced++
		}
	}
	if p.grantCount > 0 {
		l.stats.Grants += uint64(p.grantCount)
		l.propose(now, &schema.Record{Body: &schema.Record_Grants{Grants: p.grants()}})
	}
}

// pass is one placement pass over the waiting tasks. It assigns them to VMs.
type pass struct {
	l      *Leader
	now    time.Time
	vms    []*place.VM
	byName map[string]*place.VM
	policy place.Pack
	// granted holds the tasks granted in this pass, by VM; count is their number.
	granted    map[string][]*schema.TaskRef
	grantCount int
	// quotaUsed holds the resources of the batch tasks granted in this pass, by
	// team.
	quotaUsed map[string]*schema.Size
}

// newPass returns a pass over the VMs that can take new attempts. The granted
// attempts and the reservations are subtracted from their free resources.
func (l *Leader) newPass(now time.Time) *pass {
	p := &pass{
		l: l, now: now, byName: map[string]*place.VM{}, granted: map[string][]*schema.TaskRef{},
		policy: place.Pack{Estimates: l.estimates, Spread: &place.Spread{}}, quotaUsed: map[string]*schema.Size{},
	}
	for _, m := range l.members.Present() {
		if m.GetCell() != l.cell || m.GetLeaving() || !l.reachable(now, m.GetVm()) {
			continue
		}
		v := &place.VM{
			Name: m.GetVm(), Zone: m.GetZone(), Rack: m.GetRack(),
			Capacity: place.ResourcesOf(m.GetCapacity()), Free: place.ResourcesOf(m.GetCapacity()),
			Probation: l.failures.onProbation(now, m.GetVm()),
		}
		for _, t := range l.fold.GrantedTo(v.Name) {
			p.assign(v, t)
		}
		p.vms = append(p.vms, v)
		p.byName[v.Name] = v
	}
	p.subtractReservations()
	p.policy.WaitingKinds = l.waitingKinds()
	for i := range p.policy.WaitingKinds {
		w := &p.policy.WaitingKinds[i]
		w.SlowdownPerCPU = p.policy.SlowdownPerCPU(w.Kind, w.Size)
	}
	return p
}

// maxWaitingKinds is the maximum number of waiting kinds that a placement is
// compared with.
const maxWaitingKinds = 16

// waitingKinds returns the kinds of batch work with waiting tasks, at most
// maxWaitingKinds of them.
func (l *Leader) waitingKinds() []place.WaitingKind {
	var list []place.WaitingKind
	index := map[string]int{}
	for _, job := range l.fold.Waiting(l.cell) {
		kind := job.Team + "/" + job.Kind
		i, ok := index[kind]
		if job.Service || (!ok && len(list) == maxWaitingKinds) {
			continue
		}
		if !ok {
			i = len(list)
			index[kind] = i
			list = append(list, place.WaitingKind{Kind: kind, Size: place.ResourcesOf(job.Size)})
		}
		list[i].Count += int(job.Waiting())
	}
	return list
}

// reachable reports whether the VM's lease was renewed recently enough for it to
// start a new attempt before the lease expires.
func (l *Leader) reachable(now time.Time, vm string) bool {
	v := l.vms[vm]
	return v != nil && now.Sub(v.renewedAt) < VMLease/2
}

// assign adds a task to a VM and, if it is a replica, to the counts of replicas.
func (p *pass) assign(v *place.VM, t *fold.Task) {
	task := placementTask(t)
	v.Assign(task)
	if task.Service {
		p.policy.Spread.Add(task.Kind, v)
	}
}

// placementTask returns a task in the form that package place works with.
func placementTask(t *fold.Task) *place.Task {
	return &place.Task{
		Kind: t.Job.Team + "/" + t.Job.Kind, Size: place.ResourcesOf(t.Job.Size),
		Service: t.Job.Service, Avoid: t.FailedOn,
	}
}

// waitedFor returns how long a job's tasks have waited by the log's clock. Urgent
// tasks count as having waited long enough to go to any VM.
func (p *pass) waitedFor(job *fold.Job) time.Duration {
	if job.Urgent {
		return place.RelaxAfter
	}
	return max(0, p.l.fold.Clock().Sub(job.Accepted))
}

// job places the waiting tasks of a job until one fits on no VM or exceeds the
// quota of its team. It returns false if none was placed.
func (p *pass) job(job *fold.Job) bool {
	placed := false
	left := job.Waiting()
	for _, t := range job.Tasks {
		if left == 0 || p.grantCount >= maxGrantsPerRecord {
			break
		}
		if t.State != fold.Waiting {
			continue
		}
		left--
		if !p.withinQuota(t) || !p.task(t) {
			break
		}
		placed = true
	}
	return placed
}

// withinQuota reports whether the quota of the task's team allows the task in
// addition to the grants of this pass. Quotas do not apply to services.
func (p *pass) withinQuota(t *fold.Task) bool {
	if t.Job.Service {
		return true
	}
	quotaUsed := p.quotaUsed[t.Job.Team]
	if quotaUsed == nil {
		quotaUsed = &schema.Size{}
		p.quotaUsed[t.Job.Team] = quotaUsed
	}
	with := &schema.Size{
		CpuMilli:     quotaUsed.CpuMilli + t.Job.Size.GetCpuMilli(),
		MemoryMb:     quotaUsed.MemoryMb + t.Job.Size.GetMemoryMb(),
		Accelerators: quotaUsed.Accelerators + t.Job.Size.GetAccelerators(),
	}
	return p.l.fold.Team(t.Job.Team).HasQuotaFor(with)
}

// task places a task and reports whether it found a VM. For a replica or an urgent
// task without one, it evicts batch attempts.
func (p *pass) task(t *fold.Task) bool {
	task := placementTask(t)
	task.Waited = p.waitedFor(t.Job)
	task.SlowdownPerCPU = p.policy.SlowdownPerCPU(task.Kind, task.Size)
	v := p.reservedVM(t)
	if v == nil || !v.Free.Covers(task.Size) {
		v = place.Choose(p.policy, task, p.vms)
	}
	if v == nil {
		if t.Job.Service || t.Job.Urgent {
			p.evictFor(t, task)
		}
		return false
	}
	p.assign(v, t)
	p.addQuotaUse(t)
	ref := t.Attempt()
	ref.Epoch++
	p.granted[v.Name] = append(p.granted[v.Name], ref.Ref())
	p.grantCount++
	return true
}

// addQuotaUse adds a granted batch task to the quota that its team uses.
func (p *pass) addQuotaUse(t *fold.Task) {
	quotaUsed := p.quotaUsed[t.Job.Team]
	if quotaUsed == nil || t.Job.Service {
		return
	}
	quotaUsed.CpuMilli += t.Job.Size.GetCpuMilli()
	quotaUsed.MemoryMb += t.Job.Size.GetMemoryMb()
	quotaUsed.Accelerators += t.Job.Size.GetAccelerators()
}

// grants returns the grants of this pass as a record, in a fixed order.
func (p *pass) grants() *schema.Grants {
	g := &schema.Grants{}
	for vm, refs := range p.granted {
		g.Vms = append(g.Vms, &schema.VMGrants{Vm: vm, Tasks: refs})
	}
	slices.SortFunc(g.Vms, func(a, b *schema.VMGrants) int {
		return ident.AttemptOf(a.Tasks[0]).Compare(ident.AttemptOf(b.Tasks[0]))
	})
	return g
}
