// Package gate implements admission control at an upstream: it decides which request
// gets a slot, which is queued, and which is refused immediately.
//
// The agent on the upstream's VM receives the requests of all entries, so its gate
// enforces the shares of the kinds exactly, without communication between entries.
// A kind below its guaranteed share has priority. Spare slots are divided by weight,
// except that the guaranteed slots of a kind that used them recently are reserved.
package gate

import (
	"slices"
	"time"
)

// Kind is the configuration of one kind of request at a gate.
type Kind struct {
	Name string
	// Share is the guaranteed share of the slots, in percent.
	Share uint32
	// Weight is the relative share of the spare slots; 0 counts as 1.
	Weight uint32
}

// Durations and limits of a gate.
const (
	// reservationTime is how long the guaranteed slots of a kind stay reserved after
	// it last used its peak number of slots.
	reservationTime = 2 * time.Second
	// maxWait is the longest expected wait of a request that is queued; a request
	// that would wait longer is refused. maxQueue is the longest queue of a kind, in
	// requests per slot of the gate.
	maxWait  = 100 * time.Millisecond
	maxQueue = 64
	// initialServiceTime is the service time assumed before the first measurement.
	initialServiceTime = 5 * time.Millisecond
	// serviceTimeWeight is the weight of one measurement in the moving average.
	serviceTimeWeight = 0.1
)

// Decision is the result of Admit.
type Decision uint8

// The decisions.
const (
	// Granted means that the request holds a slot until Done.
	Granted Decision = iota
	// Queued means that a later call of Done or Expire returns the ticket, unless
	// Cancel removes it.
	Queued
	// Full means that the kind's queue is too long or the expected wait exceeds its
	// limit.
	Full
	// Late means that the request is not expected to finish before its deadline.
	Late
)

// Ticket is a request that waits for a slot or holds one.
type Ticket struct {
	kind        *kind
	deadline    time.Time
	requestedAt time.Time
	// Data is free for use by the caller.
	Data any
}

// kind is the state of one kind of request.
type kind struct {
	Kind
	// guaranteed is the guaranteed share in slots; it may be fractional.
	guaranteed float64
	running    int
	queue      []*Ticket
	// peak is the largest number of slots that the kind used at a time recently, and
	// peakAt the latest time at which it used that many.
	peak   float64
	peakAt time.Time
	// serviceTime is a moving average of the measured service times.
	serviceTime time.Duration
}

// Gate allocates the slots of one upstream to requests. Make it with New. It is not
// safe for concurrent use.
type Gate struct {
	slots   int
	running int
	kinds   []*kind
	byName  map[string]*kind
}

// New returns a gate with the given number of slots and kinds. Requests of an unknown
// kind count as the last of kinds.
func New(slots int, kinds []Kind) *Gate {
	g := &Gate{}
	g.Update(slots, kinds)
	return g
}

// Update changes the slots and kinds. Requests that hold slots keep them, and queued
// requests of a removed kind count as the last of kinds from then on.
func (g *Gate) Update(slots int, kinds []Kind) {
	if len(kinds) == 0 {
		kinds = []Kind{{Name: "default"}}
	}
	oldKinds, oldByName := g.kinds, g.byName
	g.slots, g.kinds, g.byName = slots, nil, map[string]*kind{}
	for _, k := range kinds {
		state := oldByName[k.Name]
		if state == nil {
			state = &kind{serviceTime: initialServiceTime}
		}
		state.Kind = k
		state.Weight = max(state.Weight, 1)
		state.guaranteed = float64(slots) * float64(k.Share) / 100
		g.kinds = append(g.kinds, state)
		g.byName[k.Name] = state
	}
	last := g.kinds[len(g.kinds)-1]
	for _, k := range oldKinds {
		if g.byName[k.Name] != k {
			last.adopt(k.queue)
		}
	}
}

// adopt adds the queued requests of a removed kind, in the order of their arrival.
func (k *kind) adopt(queue []*Ticket) {
	for _, t := range queue {
		t.kind = k
	}
	k.queue = append(k.queue, queue...)
	slices.SortStableFunc(k.queue, func(a, b *Ticket) int { return a.requestedAt.Compare(b.requestedAt) })
}

// Running returns the number of requests that hold slots.
func (g *Gate) Running() int { return g.running }

// Queued returns the number of requests that wait for slots.
func (g *Gate) Queued() int {
	sum := 0
	for _, k := range g.kinds {
		sum += len(k.queue)
	}
	return sum
}

// Slots returns the number of slots.
func (g *Gate) Slots() int { return g.slots }

// Admit requests a slot for a request of the kind with the given name.
func (g *Gate) Admit(now time.Time, name string, deadline time.Time) (*Ticket, Decision) {
	k := g.byName[name]
	if k == nil {
		k = g.kinds[len(g.kinds)-1]
	}
	t := &Ticket{kind: k, deadline: deadline, requestedAt: now}
	if now.Add(k.serviceTime).After(deadline) {
		return t, Late
	}
	if len(k.queue) == 0 && g.mayRun(now, k) {
		g.start(now, k)
		return t, Granted
	}
	expectedWait := k.expectedWait()
	if expectedWait > maxWait || len(k.queue) >= maxQueue*g.slots {
		return t, Full
	}
	if now.Add(expectedWait + k.serviceTime).After(deadline) {
		return t, Late
	}
	k.queue = append(k.queue, t)
	return t, Queued
}

// expectedWait estimates how long a new request of the kind waits in the queue.
func (k *kind) expectedWait() time.Duration {
	slots := max(k.guaranteed, float64(k.running), 1)
	return time.Duration(float64(k.serviceTime) * float64(len(k.queue)) / slots)
}

// mayRun reports whether a request of the kind may take a slot now.
func (g *Gate) mayRun(now time.Time, k *kind) bool {
	free := g.slots - g.running
	if free <= 0 {
		return false
	}
	if float64(k.running) < k.guaranteed {
		return true
	}
	return float64(free) > g.reserved(now, k)
}

// reserved returns the number of free slots that are reserved for other kinds than
// requesting: what is left of the guaranteed slots that they used recently.
func (g *Gate) reserved(now time.Time, requesting *kind) float64 {
	sum := 0.0
	for _, k := range g.kinds {
		if k == requesting || now.Sub(k.peakAt) > reservationTime {
			continue
		}
		sum += max(0, min(k.peak, k.guaranteed)-float64(k.running))
	}
	return sum
}

// start counts a slot as taken by the kind and updates its peak.
func (g *Gate) start(now time.Time, k *kind) {
	g.running++
	k.running++
	if now.Sub(k.peakAt) > reservationTime || float64(k.running) >= k.peak {
		k.peak = float64(k.running)
		k.peakAt = now
	}
}

// Done releases the slot of a granted ticket and returns the queued tickets that get
// slots now. serviceTime is how long the request ran, 0 if it did not run.
func (g *Gate) Done(now time.Time, t *Ticket, serviceTime time.Duration) []*Ticket {
	g.running--
	t.kind.running--
	if serviceTime > 0 {
		t.kind.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-t.kind.serviceTime))
	}
	return g.grantQueued(now)
}

// Cancel removes a ticket from the queue. It returns false if the ticket is not
// queued.
func (g *Gate) Cancel(t *Ticket) bool {
	i := slices.Index(t.kind.queue, t)
	if i < 0 {
		return false
	}
	t.kind.queue = slices.Delete(t.kind.queue, i, i+1)
	return true
}

// Expire removes the queued tickets that are no longer expected to finish before
// their deadlines. It returns them, and the queued tickets that get slots now.
func (g *Gate) Expire(now time.Time) (late, granted []*Ticket) {
	for _, k := range g.kinds {
		k.queue = slices.DeleteFunc(k.queue, func(t *Ticket) bool {
			expired := now.Add(k.serviceTime).After(t.deadline)
			if expired {
				late = append(late, t)
			}
			return expired
		})
	}
	return late, g.grantQueued(now)
}

// grantQueued gives free slots to queued requests and returns their tickets.
func (g *Gate) grantQueued(now time.Time) []*Ticket {
	var granted []*Ticket
	for {
		k := g.nextKind(now)
		if k == nil {
			return granted
		}
		t := k.queue[0]
		k.queue = k.queue[1:]
		g.start(now, k)
		granted = append(granted, t)
	}
}

// nextKind returns the kind whose oldest queued request gets the next slot: the kind
// furthest below its guarantee, or else the one with the fewest slots beyond its
// guarantee relative to its weight. It returns nil if no queued request may take a
// slot.
func (g *Gate) nextKind(now time.Time) *kind {
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

// rank returns the rank of the kind for the next slot; the lowest goes first. It is
// negative below the guarantee and positive otherwise.
func (k *kind) rank() float64 {
	if float64(k.running) < k.guaranteed {
		return float64(k.running)/k.guaranteed - 1
	}
	return (float64(k.running) - k.guaranteed + 1) / float64(k.Weight)
}
