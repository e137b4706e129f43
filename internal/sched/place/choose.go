package place

import (
	"math"
	"slices"
)

// Policy scores a VM that has room for a task; lower is better, and an infinite
// score refuses the VM.
type Policy interface {
	Score(t *Task, v *VM) float64
}

// Choose returns the VM with the lowest score among those with room, the first
// of equals, or nil. VMs on which the task failed are the last resort.
func Choose[P Policy](policy P, t *Task, vms []*VM) *VM {
	var best *VM
	var bestScore float64
	bestAvoided := false
	for _, v := range vms {
		if !v.Free.Covers(t.Size) || (v.Probation && len(v.Services)+len(v.Kinds) > 0) {
			continue
		}
		avoided := len(t.Avoid) > 0 && slices.Contains(t.Avoid, v.Name)
		score := policy.Score(t, v)
		if math.IsInf(score, 1) {
			continue
		}
		if best == nil || (bestAvoided && !avoided) || (avoided == bestAvoided && score < bestScore) {
			best, bestScore, bestAvoided = v, score, avoided
		}
	}
	return best
}
