package fleet

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// otherCapacity returns a capacity that differs from that of the other VMs. Two tasks fit into
// the smallest.
func otherCapacity(i int) place.Resources {
	return []place.Resources{
		{CPU: capacity.CPU / 2, Memory: capacity.Memory},
		{CPU: 2 * capacity.CPU, Memory: 2 * capacity.Memory},
		{CPU: capacity.CPU, Memory: capacity.Memory / 4},
	}[i%3]
}

// RestartResized makes all workers start again at once, each with another capacity and so
// quickly that nobody sees them gone. They do so together, because a task that has started again
// elsewhere when that worker ends as well may be given up.
func (w *World) RestartResized() {
	for i, a := range w.Agents {
		a.CrashResized(30*time.Millisecond, otherCapacity(i))
	}
}
