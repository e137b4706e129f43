package lead

// contest names jobs that compete for the same processors.
type contest struct {
	service  string
	priority int
	filler   bool
}

// coresFor returns the processors that jobs of a contest may use.
func (p *pass) coresFor(c contest) float64 {
	var sum int64
	for _, v := range p.vms {
		if v.room.Service != c.service {
			continue
		}
		if c.filler {
			sum += max(0, v.room.Free().CPU+v.room.ReclaimableCPU)
		} else {
			sum += v.room.Capacity.CPU - v.lastingCPU()
		}
	}
	cores := float64(sum) / 1000
	if m := p.l.timely.pace[c.service]; c.filler && m != nil {
		cores = min(cores, paceMargin*m.value)
	}
	return cores
}

// lastingCPU returns the processors that lasting tasks hold, in thousandths.
func (v *vm) lastingCPU() int64 {
	var sum int64
	for _, it := range v.runs {
		if it.step.LongRunning {
			sum += it.step.Size.CPU
		}
	}
	return sum
}
