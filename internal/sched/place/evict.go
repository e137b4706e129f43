package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
)

// evictionCost is what an eviction costs in itself, beside the work it loses; it
// grows with each earlier eviction of the task, so that no task is evicted again
// and again.
const evictionCost = 5 * time.Second

// Victim is an attempt that may be evicted.
type Victim struct {
	Attempt ident.Attempt
	Size    Resources
	// Evictions counts the task's earlier evictions.
	Evictions int
	// UnsavedWork is the work done since the latest checkpoint.
	UnsavedWork time.Duration
}

func (v *Victim) cost() time.Duration {
	return v.UnsavedWork + time.Duration(1+v.Evictions)*evictionCost
}

// Eviction is a set of victims that makes room.
type Eviction struct {
	Victims []Victim
	Cost    time.Duration
}

// ChooseVictims returns the cheapest victims that it finds to make room for need beside
// what is free. It returns false if all of them would not.
func ChooseVictims(candidates []Victim, free, need Resources) (Eviction, bool) {
	slices.SortStableFunc(candidates, func(a, b Victim) int {
		if c := cmp.Compare(a.cost(), b.cost()); c != 0 {
			return c
		}
		return a.Attempt.Compare(b.Attempt)
	})
	var chosen []Victim
	room := free
	for _, v := range candidates {
		if room.Covers(need) {
			break
		}
		chosen = append(chosen, v)
		room = room.Plus(v.Size)
	}
	if !room.Covers(need) {
		return Eviction{}, false
	}
	// A later victim may have made an earlier one needless.
	e := Eviction{}
	for _, v := range chosen {
		if without := room.Minus(v.Size); without.Covers(need) {
			room = without
			continue
		}
		e.Victims = append(e.Victims, v)
		e.Cost += v.cost()
	}
	return e, len(e.Victims) > 0
}
