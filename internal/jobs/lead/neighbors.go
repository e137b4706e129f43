package lead

import (
	"cmp"
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
)

// load is what best-effort runs of a VM use that are equal in this respect.
type load struct {
	// runs has at least one element.
	runs  []*run
	image string
	// cores is the number of processors that each run uses at present, full the one at full speed.
	cores, full float64
	urgency
}

// neighbors holds the best-effort runs of a VM, for its long-running runs. What they add to these is
// computed once for each image of long-running tasks.
type neighbors struct {
	in *interference
	v  *vm
	// loads has the runs that are not to be stopped.
	loads []*load
	// added holds the results of addedTo.
	added map[string]*addedLoad
}

// measuredNeighbors returns a VM's best-effort runs with the processors that each uses.
func (l *Leader) measuredNeighbors(v *vm, cores map[runKey]float64) *neighbors {
	n := &neighbors{in: &l.interference, v: v}
	l.work += uint64(len(v.runs))
	for key, r := range v.runs {
		if r.step.BestEffort && !r.stopped {
			used := cores[key]
			n.loads = append(n.loads, &load{runs: []*run{r}, image: r.step.Image, cores: used, full: r.fullSpeedCores(used), urgency: l.urgencyOf(r)})
		}
	}
	return n
}

// requestedNeighbors returns a VM's best-effort runs, and further ones, with the processors that they
// request. The runs of a stage are one load.
func (l *Leader) requestedNeighbors(v *vm, further ...*run) *neighbors {
	n := &neighbors{in: &l.interference, v: v}
	l.work += uint64(len(v.runs))
	stages := map[plan.StageKey]*load{}
	add := func(r *run) {
		key := stageKey(r.ref)
		if stages[key] == nil {
			stages[key] = &load{image: r.step.Image, full: r.requestedCores(), urgency: l.urgencyOf(r)}
			n.loads = append(n.loads, stages[key])
		}
		stages[key].runs = append(stages[key].runs, r)
	}
	for _, r := range v.runs {
		if r.step.BestEffort && !r.stopped {
			add(r)
		}
	}
	for _, r := range further {
		add(r)
	}
	return n
}

// weightedCores returns the processors that the runs would use at full speed, weighted by the value of
// their work.
func (n *neighbors) weightedCores() float64 {
	sum := 0.0
	for _, ld := range n.loads {
		cores := float64(len(ld.runs)) * ld.full
		if ld.late {
			cores *= lateWorkWeight
		}
		sum += cores
	}
	return sum
}

// addedLoad is the utilization that a VM's best-effort runs add to long-running tasks of an image.
type addedLoad struct {
	neighbors *neighbors
	image     string
	// now is the sum at present, full the one at full speed.
	now, full float64
	// sorted is the result of contributions.
	sorted []contribution
}

// addedTo returns what the runs add to long-running tasks of an image.
func (n *neighbors) addedTo(image string) *addedLoad {
	if a := n.added[image]; a != nil {
		return a
	}
	a := &addedLoad{neighbors: n, image: image}
	n.in.work += uint64(len(n.loads))
	for _, ld := range n.loads {
		weight := float64(len(ld.runs)) * n.weight(image, ld)
		a.now += weight * ld.cores
		a.full += weight * ld.full
	}
	if n.added == nil {
		n.added = map[string]*addedLoad{}
	}
	n.added[image] = a
	return a
}

// weight returns the utilization that a run adds to a long-running task for each processor that it uses.
func (n *neighbors) weight(image string, ld *load) float64 {
	return n.in.coefficient(image, ld.image) / n.v.cores()
}

// contribution is the utilization that each run of a load adds to a long-running task at full speed.
type contribution struct {
	load *load
	full float64
}

// contributions returns what each load adds, sorted by urgency, then by the utilization at full speed,
// lowest first.
func (a *addedLoad) contributions() []contribution {
	if a.sorted != nil {
		return a.sorted
	}
	n := a.neighbors
	n.in.work += uint64(len(n.loads)) + sortWork(len(n.loads))
	for _, ld := range n.loads {
		a.sorted = append(a.sorted, contribution{ld, n.weight(a.image, ld) * ld.full})
	}
	slices.SortFunc(a.sorted, func(a, b contribution) int {
		if c := a.load.compare(b.load.urgency); c != 0 {
			return c
		}
		if c := cmp.Compare(a.full, b.full); c != 0 {
			return c
		}
		return a.load.runs[0].ref.Compare(b.load.runs[0].ref)
	})
	return a.sorted
}
