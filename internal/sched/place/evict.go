package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
)

// evictionBaseCost is the cost of an eviction apart from the lost work. It is
// added once more for each earlier eviction of the task, so that the same task is
// not evicted repeatedly.
const evictionBaseCost = 5 * time.Second

// Victim is an attempt that may be evicted.
type Victim struct {
	Attempt ident.Attempt
	Size    Resources
	// Evictions is the number of earlier evictions of the task.
	Evictions int
	// UnsavedWork is the time worked since the latest checkpoint, which an eviction
	// loses.
	UnsavedWork time.Duration
}

// cost returns the cost of evicting v, in lost working time.
func (v *Victim) cost() time.Duration {
	return v.UnsavedWork + time.Duration(1+v.Evictions)*evictionBaseCost
}

// Eviction is a set of victims whose eviction frees enough resources.
type Eviction struct {
	Victims []Victim
	Cost    time.Duration
}

// ChooseVictims returns candidates whose eviction, together with the free
// resources, provides the resources needed. It tries the cheapest candidates
// first, which does not always find the cheapest set. It returns false if evicting
// all candidates is not enough, or if nothing needs to be evicted.
func ChooseVictims(candidates []Victim, free, need Resources) (Eviction, bool) {
	slices.SortStableFunc(candidates, func(a, b Victim) int {
		if c := cmp.Compare(a.cost(), b.cost()); c != 0 {
			return c
		}
		return a.Attempt.Compare(b.Attempt)
	})
	var chosen []Victim
	available := free
	for _, v := range candidates {
		if available.Covers(need) {
			break
		}
		chosen = append(chosen, v)
		available = available.Plus(v.Size)
	}
	if !available.Covers(need) {
		return Eviction{}, false
	}
	// The resources of a later victim may have made an earlier one unnecessary.
	e := Eviction{}
	for _, v := range chosen {
		if without := available.Minus(v.Size); without.Covers(need) {
			available = without
			continue
		}
		e.Victims = append(e.Victims, v)
		e.Cost += v.cost()
	}
	return e, len(e.Victims) > 0
}
