package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/digest"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

const (
	// maxStarts is the number of runs from which a pass starts no further ones. A gang is started
	// whole, by a pass of its own if it is larger.
	maxStarts = 400
	// maxPassWork is the work, in the unit of Leader.Work, from which a pass looks at no further stage.
	maxPassWork = 100_000
	// lowUtilization is the requested share of a service's processors below which its VMs count as
	// underused.
	lowUtilization = 0.5
	// lateFactor is the multiple of its objective after which a job is worthless to its
	// caller.
	lateFactor = 3
)

// pass is one placement pass over the waiting work. A pass is cut short once it has started many runs
// or done much work, so that heartbeats, leases and callers don't wait for long. What it has
// decided is stored before the next one goes on.
type pass struct {
	l   *Leader
	now time.Time
	// began is the result of Leader.Work when the pass began to place tasks.
	began uint64
	// vms holds the VMs that may get new work, placement their placement state at the same
	// indexes.
	vms       []*vm
	placement []*plan.VM
	// orders holds the orders for each VM, by its id.
	orders map[string]*msgs.Orders
	starts int
	// placed holds the runs that the pass has assigned, in this order.
	placed      []placedRun
	checkpoints checkpoints
	// unexpected is the result of Leader.unexpectedStages.
	unexpected map[plan.StageKey]bool
	// underused holds the services of which the requested share of the VMs' processors is below
	// lowUtilization.
	underused map[string]bool
}

// placedRun is a run that a pass has assigned to a VM.
type placedRun struct {
	v *vm
	r *run
	// freeCPU is what the VM had left, in thousandths of a processor.
	freeCPU int64
	// start is the index of the order to start the run among those for the VM.
	start int
}

// round is a series of passes that looks at each waiting stage once. The zero value is one that has
// ended.
type round struct {
	// stages holds the stages that are still to be looked at, in their order.
	stages []plan.WaitingStage
	// adviceWanted holds the stages, of those looked at, with tasks that wait for a ticket.
	adviceWanted []adviceWanted
}

// placeWaiting assigns waiting tasks to VMs and moves runs that would end sooner on
// another VM. If it is cut short, the next call goes on with the stages that are left.
func (l *Leader) placeWaiting(now time.Time) {
	p := l.newPass(now)
	p.plan()
	if len(l.round.stages) == 0 {
		l.round = round{stages: l.waitingStages(now, p.unexpected)}
		plan.SortStages(now, l.round.stages)
	}
	p.placeSuspects(l.round.stages)
	p.placeStages()
	p.moveRuns()
	p.requestAdvice()
	p.setSpeeds()
	p.logPlaced()
	for _, id := range slices.Sorted(maps.Keys(p.orders)) {
		l.sendWhenStored(l.vms[id].conn, &msgs.Message{Orders: p.orders[id]})
	}
}

// newPass returns a pass over the VMs that may get new work.
func (l *Leader) newPass(now time.Time) *pass {
	p := &pass{l: l, now: now, orders: map[string]*msgs.Orders{}, unexpected: l.unexpectedStages()}
	l.work += uint64(len(l.vms))
	for _, v := range l.sortedVMs() {
		if !v.usable(now) {
			continue
		}
		v.placement.Suspicion, v.placement.Probing = v.health.suspicion(now), v.health.probing(now)
		v.placement.Overloaded = v.overloaded(now)
		v.placement.Quarantined = v.quarantined(now)
		v.fullLoads = nil
		l.work += uint64(len(v.targeted))
		v.placement.InterferenceCost = func(bestEffort *model.Step) float64 { return l.interference.cost(v, bestEffort) }
		// If the service's VMs are underused, throttled work is better than none.
		v.placement.WouldOverload = func(bestEffort *model.Step) bool {
			return !p.underused[v.placement.Service] && l.interference.overloads(v, bestEffort)
		}
		p.vms = append(p.vms, v)
		p.placement = append(p.placement, &v.placement)
	}
	p.underused = p.underusedServices()
	return p
}

// exhausted reports whether the pass leaves the rest to the next one. Each pass starts a run or finishes
// with a stage all the same.
func (p *pass) exhausted() bool {
	return p.starts >= maxStarts || p.l.Work()-p.began >= maxPassWork
}

// placeStages places the stages of the round, until that is exhausted or the pass is.
func (p *pass) placeStages() {
	l := p.l
	p.began = l.Work()
	for len(l.round.stages) > 0 {
		w := &l.round.stages[0]
		if p.mayStart(w) && !p.placeStage(w) {
			break
		}
		l.round.stages = l.round.stages[1:]
		if p.exhausted() {
			break
		}
	}
	l.stats.StagesLeft = uint64(len(l.round.stages))
	if len(l.round.stages) > 0 {
		l.stats.CutPasses++
		l.placementDue = true
	}
}

// mayStart reports whether a stage of the round still has tasks that may start.
func (p *pass) mayStart(w *plan.WaitingStage) bool {
	e := p.l.table.Get(w.Key.Job)
	if e == nil || e.State.Ended() {
		return false
	}
	st := e.Stage(model.TaskRef{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step})
	return st != nil && len(st.Waiting) > 0 && e.Ready(p.now, st) && !p.unexpected[w.Key] && p.l.backoffs.elapsed(p.now, w.Key)
}

// underusedServices returns the services whose VMs have runs that request less than lowUtilization
// of the processors. The runs of a VM that has shrunk may request more than it has.
func (p *pass) underusedServices() map[string]bool {
	used, capacity := map[string]int64{}, map[string]int64{}
	for _, v := range p.placement {
		used[v.Service] += min(v.Used.CPU, v.Capacity.CPU)
		capacity[v.Service] += v.Capacity.CPU
	}
	underused := map[string]bool{}
	for service, n := range capacity {
		underused[service] = float64(used[service]) < lowUtilization*float64(n)
	}
	return underused
}

// setSpeeds sets the speed limits with which the best-effort runs start that were placed, once for each
// VM: all of them share what its long-running tasks leave.
func (p *pass) setSpeeds() {
	var vms []*vm
	runs := map[*vm][]*run{}
	for _, placed := range p.placed {
		if !placed.r.step.BestEffort {
			continue
		}
		if runs[placed.v] == nil {
			vms = append(vms, placed.v)
		}
		runs[placed.v] = append(runs[placed.v], placed.r)
	}
	for _, v := range vms {
		for r, speed := range p.l.initialSpeeds(p.now, v, p.l.requestedNeighbors(v), runs[v]...) {
			r.speedLimit = speed
		}
	}
	for _, placed := range p.placed {
		p.orders[placed.v.info.ID].Starts[placed.start].Percent = placed.r.speedLimit
	}
}

// logPlaced logs the runs that were placed.
func (p *pass) logPlaced() {
	for _, placed := range p.placed {
		v, r := placed.v, placed.r
		p.l.log.Info("task placed", "req", r.ref.Job, "task", r.ref.String(), "run", r.number, "vm", v.info.ID,
			"sinceAccepted", p.now.Sub(r.entry.Job.Accepted), "freeCPU", placed.freeCPU, "doubt", v.placement.Suspicion, "pace", r.speedLimit,
			"heard", p.now.Sub(v.lastContact), "checkpoint", digest.Text(r.checkpoint), "epoch", p.l.epoch)
	}
}
