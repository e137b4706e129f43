package route

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/once"
)

const (
	// convergenceTime bounds the time until a change of upstreams is known to every
	// entry that is in contact with the others.
	convergenceTime = once.ConvergenceTime
	// historyRetention is how long former sets of upstreams are kept. It must exceed
	// the age up to which a request id is accepted, see once.Retention.
	historyRetention = 3 * time.Minute
)

// Owners maps each request id that a caller made to its owner, the only upstream
// that may run the request. All entries compute the same owner, so a caller that
// repeats a request through another entry reaches the upstream that knows whether
// the request has run.
//
// For a while after a change of upstreams, entries may compute different owners.
// An id has no owner if its owner changed at any time since the id was made.
//
// The zero value is ready for use.
type Owners struct {
	// history holds the sets of upstreams, the oldest first and the current one last.
	history []upstreamSet
}

// upstreamSet is the set of upstreams from since until the next set.
type upstreamSet struct {
	since time.Time
	// vms is sorted.
	vms []string
}

// Update records targets as the set of upstreams from now on.
func (o *Owners) Update(now time.Time, targets []Target) {
	vms := make([]string, 0, len(targets))
	for _, t := range targets {
		vms = append(vms, t.VM)
	}
	slices.Sort(vms)
	if n := len(o.history); n > 0 && slices.Equal(o.history[n-1].vms, vms) {
		return
	}
	o.history = append(o.history, upstreamSet{now, vms})
	for len(o.history) > 1 && now.Sub(o.history[1].since) > historyRetention {
		o.history = o.history[1:]
	}
}

// Owner returns the VM that is the owner of an id made at stamp, or "" if the id has
// no owner or this entry cannot tell.
func (o *Owners) Owner(id string, stamp time.Time) string {
	owner := ""
	from := stamp.Add(-convergenceTime)
	for i, set := range o.history {
		if i+1 < len(o.history) && !o.history[i+1].since.After(from) {
			continue // this set was replaced before the id was made
		}
		vm := rendezvous(id, set.vms)
		if vm == "" || (owner != "" && vm != owner) {
			return ""
		}
		owner = vm
	}
	if len(o.history) > 0 && o.history[0].since.After(from) {
		return "" // the entry started too late to know the sets that were valid when the id was made
	}
	return owner
}

// rendezvous implements rendezvous hashing: it returns the VM whose hash with id is
// the highest, so that a change of the set changes the owner only for the ids of
// VMs that were added or removed. It returns "" if vms is empty.
func rendezvous(id string, vms []string) string {
	best, highest := "", uint64(0)
	for _, vm := range vms {
		h := fnv.New64a()
		h.Write([]byte(vm))
		h.Write([]byte{0})
		h.Write([]byte(id))
		if sum := mix(h.Sum64()); best == "" || sum > highest {
			best, highest = vm, sum
		}
	}
	return best
}

// mix spreads the bits of a hash, by the 64-bit finalizer of MurmurHash3. FNV alone
// spreads too little where inputs differ only in their last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
