package place

import (
	"math"
	"slices"
)

// Policy scores a VM on which a task fits. Lower is better; a score of positive
// infinity excludes the VM.
type Policy interface {
	Score(t *Task, v *VM) float64
}

// Choose returns the VM with the lowest score among those on which the task fits,
// the first of several with the same score, or nil if there is none. A VM on which
// the task failed is chosen only if there is no other.
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
