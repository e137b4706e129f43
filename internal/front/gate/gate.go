// Package gate decides which request gets a slot of an upstream, and which is
// refused at once.
//
// The agent beside an upstream sees the requests of all entries, so its gate
// holds the shares of the kinds exactly, without a word between entries. A kind
// below its guaranteed share goes first. Spare slots are divided by weight, but
// a kind that used its guarantee a moment ago finds it free.
package gate

import (
	"slices"
	"time"
)

// Kind is one kind of request at a gate.
type Kind struct {
	Name string
	// Share is the guaranteed share of the slots, in percent.
	Share uint32
	// Weight divides spare slots; 0 counts as 1.
	Weight uint32
}

// Times and bounds of a gate.
const (
	// recentFor is how long the guarantee of a kind that falls idle stays free.
	recentFor = 2 * time.Second
	// maxWait bounds the expected wait in a kind's queue, and maxQueue its length
	// in multiples of the slots.
	maxWait  = 100 * time.Millisecond
	maxQueue = 64
	// initialService is the service time assumed before any measurement.
	initialService = 5 * time.Millisecond
	learnRate      = 0.1
)

// Decision is the answer to a request for a slot.
type Decision uint8

// The decisions.
const (
	// Granted means that the request holds a slot now.
	Granted Decision = iota
	// Queued means that Release or Expire will name the ticket.
	Queued
	// Full means that the kind's queue is full.
	Full
	// Late means that the request could not finish before its deadline.
	Late
)

// Ticket is a request that waits for a slot or holds one.
type Ticket struct {
	kind     *kind
	deadline time.Time
	since    time.Time
	// Data is the caller's.
	Data any
}

type kind struct {
	Kind
	// guaranteed is the kind's share in slots; it may be a fraction.
	guaranteed float64
	running    int
	queue      []*Ticket
	// peak is the most slots used at a time of late, at most the guarantee.
	peak   float64
	peakAt time.Time
	// service is the learned service time.
	service time.Duration
}

// Gate shares out the slots of one upstream. Make it with New. It is not safe
// for concurrent use.
type Gate struct {
	slots   int
	running int
	kinds   []*kind
	byName  map[string]*kind
}

// New returns a gate with slots and kinds. Requests of an unknown kind count as
// the last one.
func New(slots int, kinds []Kind) *Gate {
	g := &Gate{}
	g.Update(slots, kinds)
	return g
}

// Update changes the slots and kinds; requests that hold slots keep them.
func (g *Gate) Update(slots int, kinds []Kind) {
	old := g.byName
	g.slots, g.kinds, g.byName = slots, nil, map[string]*kind{}
	for _, k := range kinds {
		entry := old[k.Name]
		if entry == nil {
			entry = &kind{service: initialService}
		}
		entry.Kind = k
		entry.Weight = max(entry.Weight, 1)
		entry.guaranteed = float64(slots) * float64(k.Share) / 100
		g.kinds = append(g.kinds, entry)
		g.byName[k.Name] = entry
	}
	if len(g.kinds) == 0 {
		entry := &kind{Kind: Kind{Name: "default", Weight: 1}, service: initialService}
		g.kinds, g.byName = []*kind{entry}, map[string]*kind{"default": entry}
	}
}

// Running returns the requests that hold slots.
func (g *Gate) Running() int { return g.running }

// Queued returns the requests that wait.
func (g *Gate) Queued() int {
	sum := 0
	for _, k := range g.kinds {
		sum += len(k.queue)
	}
	return sum
}

// Slots returns the number of slots.
func (g *Gate) Slots() int { return g.slots }

// Admit asks for a slot for a request of a kind.
func (g *Gate) Admit(now time.Time, name string, deadline time.Time) (*Ticket, Decision) {
	k := g.byName[name]
	if k == nil {
		k = g.kinds[len(g.kinds)-1]
	}
	t := &Ticket{kind: k, deadline: deadline, since: now}
	if now.Add(k.service).After(deadline) {
		return t, Late
	}
	if len(k.queue) == 0 && g.mayRun(now, k) {
		g.start(now, k)
		return t, Granted
	}
	wait := k.wait()
	if wait > maxWait || len(k.queue) >= maxQueue*g.slots {
		return t, Full
	}
	if now.Add(wait + k.service).After(deadline) {
		return t, Late
	}
	k.queue = append(k.queue, t)
	return t, Queued
}

// wait is how long a new request of the kind is expected to wait.
func (k *kind) wait() time.Duration {
	lanes := max(k.guaranteed, float64(k.running), 1)
	return time.Duration(float64(k.service) * float64(len(k.queue)) / lanes)
}

// mayRun reports whether a kind may take a slot now.
func (g *Gate) mayRun(now time.Time, k *kind) bool {
	free := g.slots - g.running
	if free <= 0 {
		return false
	}
	if float64(k.running) < k.guaranteed {
		return true
	}
	return float64(free) > g.kept(now, k)
}

// kept is how many slots stay free for the guarantees of other kinds.
func (g *Gate) kept(now time.Time, asking *kind) float64 {
	sum := 0.0
	for _, k := range g.kinds {
		if k == asking || now.Sub(k.peakAt) > recentFor {
			continue
		}
		sum += max(0, min(k.peak, k.guaranteed)-float64(k.running))
	}
	return sum
}

func (g *Gate) start(now time.Time, k *kind) {
	g.running++
	k.running++
	if now.Sub(k.peakAt) > recentFor || float64(k.running) >= k.peak {
		k.peak = float64(k.running)
		k.peakAt = now
	}
}

// Done gives a granted ticket's slot back after it ran for service, and returns
// the tickets that get slots now.
func (g *Gate) Done(now time.Time, t *Ticket, service time.Duration) []*Ticket {
	g.running--
	t.kind.running--
	if service > 0 {
		t.kind.service += time.Duration(learnRate * float64(service-t.kind.service))
	}
	return g.fill(now)
}

// Cancel takes a ticket out of the queue. It returns false if it is not there.
func (g *Gate) Cancel(t *Ticket) bool {
	i := slices.Index(t.kind.queue, t)
	if i < 0 {
		return false
	}
	t.kind.queue = slices.Delete(t.kind.queue, i, i+1)
	return true
}

// Expire returns the queued tickets that can no longer finish in time, and
// those that get slots now.
func (g *Gate) Expire(now time.Time) (late, granted []*Ticket) {
	for _, k := range g.kinds {
		k.queue = slices.DeleteFunc(k.queue, func(t *Ticket) bool {
			expired := now.Add(k.service).After(t.deadline)
			if expired {
				late = append(late, t)
			}
			return expired
		})
	}
	return late, g.fill(now)
}

// fill gives free slots to queued requests.
func (g *Gate) fill(now time.Time) []*Ticket {
	var granted []*Ticket
	for {
		k := g.next(now)
		if k == nil {
			return granted
		}
		t := k.queue[0]
		k.queue = k.queue[1:]
		g.start(now, k)
		granted = append(granted, t)
	}
}

// next returns the kind whose oldest request gets the next slot: the one
// furthest below its guarantee, else the one with least slots for its weight.
func (g *Gate) next(now time.Time) *kind {
	var best *kind
	bestRank := 0.0
	for _, k := range g.kinds {
		if len(k.queue) == 0 || !g.mayRun(now, k) {
			continue
		}
		if rank := k.rank(); best == nil || rank < bestRank {
			best, bestRank = k, rank
		}
	}
	return best
}

func (k *kind) rank() float64 {
	if float64(k.running) < k.guaranteed {
		return float64(k.running)/k.guaranteed - 1
	}
	return (float64(k.running) - k.guaranteed + 1) / float64(k.Weight)
}
