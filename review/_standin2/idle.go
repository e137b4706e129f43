package main

import "time"

// idleTime is how long a job must have nothing running to be idle by the rule LOST.
const idleTime = 3 * time.Second

// usage is what was seen of the accepted jobs over idleTime.
type usage struct {
	// ran holds the jobs of which a task was present at a worker.
	ran map[string]bool
	// cpu and mem are the most that was in use. Tasks that fill count with their memory only.
	cpu, mem int64
}

// watch observes jobs until a time, idleTime after it is called. Each step of a job counts with the
// largest size of the job's steps.
func (r *Recorder) watch(jobs []Job, until time.Time) usage {
	u := usage{ran: map[string]bool{}}
	for time.Now().Before(until) {
		var cpu, mem int64
		for _, j := range jobs {
			n := int64(r.present(j.id))
			u.ran[j.id] = u.ran[j.id] || n > 0
			var stepCPU, stepMem int64
			for _, s := range j.Steps {
				stepMem = max(stepMem, s.Mem)
				if !s.Fills {
					stepCPU = max(stepCPU, s.CPU)
				}
			}
			cpu, mem = cpu+n*stepCPU, mem+n*stepMem
		}
		u.cpu, u.mem = max(u.cpu, cpu), max(u.mem, mem)
		time.Sleep(20 * time.Millisecond)
	}
	return u
}

// idle reports whether a job was idle by the rule: nothing of it ran, and under half of a capacity was
// in use. That leaves capacity for the jobs of these cases more than twice over.
func (u usage) idle(j Job, cpu, mem int64) bool {
	return !u.ran[j.id] && 2*u.cpu < cpu && 2*u.mem < mem
}
