package lead

// jobClass identifies the jobs that compete for the same processors.
type jobClass struct {
	service    string
	priority   int
	bestEffort bool
}

// coresFor returns the number of processors that the jobs of a class may use.
func (p *pass) coresFor(c jobClass) float64 {
	var sum int64
	for _, v := range p.vms {
		if v.placement.Service != c.service {
			continue
		}
		if c.bestEffort {
			sum += max(0, v.placement.Free().CPU+v.placement.ReclaimableCPU)
		} else {
			sum += max(0, v.placement.Capacity.CPU-v.longRunningCPU())
		}
	}
	cores := float64(sum) / 1000
	if m := p.l.onTimePlan.recentCores[c.service]; c.bestEffort && m != nil {
		cores = min(cores, recentCoresShare*m.value)
	}
	return cores
}

// longRunningCPU returns the processors that long-running tasks request, in thousandths of
// a processor.
func (v *vm) longRunningCPU() int64 {
	var sum int64
	for _, r := range v.runs {
		if r.step.LongRunning {
			sum += r.step.Size.CPU
		}
	}
	return sum
}
