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
	// maxGrants bounds the grants of one record.
	maxGrants = 500
	// maxMisses bounds the jobs tried without success in one pass.
	maxMisses = 50
)

// plan places waiting tasks.
func (l *Leader) plan(now time.Time) {
	waiting := l.fold.Waiting(l.cell)
	l.dropReservations(now)
	if len(waiting) == 0 {
		return
	}
	p := l.newPlan(now)
	misses := 0
	for _, job := range waiting {
		if p.count >= maxGrants || misses >= maxMisses {
			break
		}
		if !p.job(job) {
			misses++
		}
	}
	if p.count > 0 {
		l.stats.Grants += uint64(p.count)
		l.propose(now, &schema.Record{Body: &schema.Record_Grants{Grants: p.grants()}})
	}
}

// plan is one pass over the waiting tasks.
type plan struct {
	l      *Leader
	now    time.Time
	vms    []*place.VM
	byName map[string]*place.VM
	policy place.Pack
	chosen map[string][]*schema.TaskRef
	count  int
	// spent is what this pass grants to each team, for its quota.
	spent map[string]*schema.Size
}

func (l *Leader) newPlan(now time.Time) *plan {
	p := &plan{
		l: l, now: now, byName: map[string]*place.VM{}, chosen: map[string][]*schema.TaskRef{},
		policy: place.Pack{Estimates: l.learned, Spread: &place.Spread{}}, spent: map[string]*schema.Size{},
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
			p.take(v, t)
		}
		p.vms = append(p.vms, v)
		p.byName[v.Name] = v
	}
	p.reserve()
	p.policy.WaitingKinds = l.rivals()
	for i := range p.policy.WaitingKinds {
		r := &p.policy.WaitingKinds[i]
		r.SlowdownPerCPU = p.policy.SlowdownPerCPU(r.Kind, r.Size)
	}
	return p
}

// maxRivals bounds the kinds of waiting work that a choice is weighed against.
const maxRivals = 16

// rivals returns the kinds of batch work that wait.
func (l *Leader) rivals() []place.WaitingKind {
	var list []place.WaitingKind
	index := map[string]int{}
	for _, job := range l.fold.Waiting(l.cell) {
		kind := job.Team + "/" + job.Kind
		i, ok := index[kind]
		if job.Service || (!ok && len(list) == maxRivals) {
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

// reachable reports whether a VM's lease has long enough to run for a start.
func (l *Leader) reachable(now time.Time, vm string) bool {
	v := l.vms[vm]
	return v != nil && now.Sub(v.answered) < VMLease/2
}

func (p *plan) take(v *place.VM, t *fold.Task) {
	task := placeTask(t)
	v.Assign(task)
	if task.Service {
		p.policy.Spread.Add(task.Kind, v)
	}
}

func placeTask(t *fold.Task) *place.Task {
	return &place.Task{
		Kind: t.Job.Team + "/" + t.Job.Kind, Size: place.ResourcesOf(t.Job.Size),
		Service: t.Job.Service, Avoid: t.FailedOn,
	}
}

// waitedFor is how long a job's tasks have waited by the log's clock. Urgent work
// is never choosy.
func (p *plan) waitedFor(job *fold.Job) time.Duration {
	if job.Urgent {
		return place.RelaxAfter
	}
	return max(0, p.l.fold.Clock().Sub(job.Accepted))
}

// job places a job's waiting tasks until one finds no room. It returns false if
// none was placed.
func (p *plan) job(job *fold.Job) bool {
	placed := false
	left := job.Waiting()
	for _, t := range job.Tasks {
		if left == 0 || p.count >= maxGrants {
			break
		}
		if t.State != fold.Waiting {
			continue
		}
		left--
		if !p.allowed(t) || !p.task(t) {
			break
		}
		placed = true
	}
	return placed
}

func (p *plan) allowed(t *fold.Task) bool {
	if t.Job.Service {
		return true
	}
	spent := p.spent[t.Job.Team]
	if spent == nil {
		spent = &schema.Size{}
		p.spent[t.Job.Team] = spent
	}
	with := &schema.Size{
		CpuMilli:     spent.CpuMilli + t.Job.Size.GetCpuMilli(),
		MemoryMb:     spent.MemoryMb + t.Job.Size.GetMemoryMb(),
		Accelerators: spent.Accelerators + t.Job.Size.GetAccelerators(),
	}
	return p.l.fold.Team(t.Job.Team).HasQuotaFor(with)
}

func (p *plan) task(t *fold.Task) bool {
	task := placeTask(t)
	task.Waited = p.waitedFor(t.Job)
	task.SlowdownPerCPU = p.policy.SlowdownPerCPU(task.Kind, task.Size)
	v := p.reserved(t)
	if v == nil || !v.Free.Covers(task.Size) {
		v = place.Choose(p.policy, task, p.vms)
	}
	if v == nil {
		if t.Job.Service || t.Job.Urgent {
			p.makeRoom(t, task)
		}
		return false
	}
	p.take(v, t)
	p.spend(t)
	ref := t.Attempt()
	ref.Epoch++
	p.chosen[v.Name] = append(p.chosen[v.Name], ref.Ref())
	p.count++
	return true
}

func (p *plan) spend(t *fold.Task) {
	spent := p.spent[t.Job.Team]
	if spent == nil || t.Job.Service {
		return
	}
	spent.CpuMilli += t.Job.Size.GetCpuMilli()
	spent.MemoryMb += t.Job.Size.GetMemoryMb()
	spent.Accelerators += t.Job.Size.GetAccelerators()
}

func (p *plan) grants() *schema.Grants {
	g := &schema.Grants{}
	for vm, refs := range p.chosen {
		g.Vms = append(g.Vms, &schema.VMGrants{Vm: vm, Tasks: refs})
	}
	slices.SortFunc(g.Vms, func(a, b *schema.VMGrants) int {
		return ident.AttemptOf(a.Tasks[0]).Compare(ident.AttemptOf(b.Tasks[0]))
	})
	return g
}
