package route

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/once"
)

const (
	// settle is the time in which a change of upstreams reaches every entry that
	// still hears from the others.
	settle = once.ConvergenceTime
	// keepViews is how long former sets of upstreams are remembered; it exceeds
	// the age up to which a request id is accepted.
	keepViews = 3 * time.Minute
)

// Owners chooses, for a request id that a caller made, the one upstream that may
// run it, the same at every entry. A caller that sends the request again to
// another entry thus meets the upstream that knows whether it ran.
//
// After a change of upstreams the choice may differ between entries for a while.
// An id whose home was not the same all the time since it was made has none.
// Its zero value is ready for use.
type Owners struct {
	views []view
}

type view struct {
	since time.Time
	vms   []string
}

// Update notes the upstreams from now on.
func (h *Owners) Update(now time.Time, targets []Target) {
	vms := make([]string, 0, len(targets))
	for _, t := range targets {
		vms = append(vms, t.VM)
	}
	slices.Sort(vms)
	if n := len(h.views); n > 0 && slices.Equal(h.views[n-1].vms, vms) {
		return
	}
	h.views = append(h.views, view{now, vms})
	for len(h.views) > 1 && now.Sub(h.views[1].since) > keepViews {
		h.views = h.views[1:]
	}
}

// Owner returns the VM that alone may run the request with an id made at stamp,
// or "" if that is not certain.
func (h *Owners) Owner(id string, stamp time.Time) string {
	home := ""
	from := stamp.Add(-settle)
	for i, v := range h.views {
		if i+1 < len(h.views) && !h.views[i+1].since.After(from) {
			continue // this view had ended when the id was made
		}
		best := rendezvous(id, v.vms)
		if best == "" || (home != "" && best != home) {
			return ""
		}
		home = best
	}
	if len(h.views) > 0 && h.views[0].since.After(from) {
		return "" // an entry this young does not know the sets before it
	}
	return home
}

// rendezvous returns the VM with the highest hash, so that a change of the set
// moves only the ids of the VMs that come or go.
func rendezvous(id string, vms []string) string {
	best, most := "", uint64(0)
	for _, vm := range vms {
		h := fnv.New64a()
		h.Write([]byte(vm))
		h.Write([]byte{0})
		h.Write([]byte(id))
		if sum := mix(h.Sum64()); best == "" || sum > most {
			best, most = vm, sum
		}
	}
	return best
}

// mix spreads the bits of a hash whose inputs differ only at their ends.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
