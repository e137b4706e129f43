// Package elect decides when an entry should claim the leadership.
//
// The store guarantees that there is only one leader: it refuses the appends of all epochs
// but the highest. A claim on a wrong suspicion therefore costs a change of leader but is
// never unsafe, so entries claim early, one after the other in the order of their
// processors and addresses.
package elect

import (
	"net/netip"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// ClaimStagger is the interval between the claims of entries that lost the same
	// leader.
	ClaimStagger = 200 * time.Millisecond
	// maxClaimDelay is the maximum delay of a claim.
	maxClaimDelay = 2 * time.Second
	// LeaderTimeout is how long a leader may send nothing before the other entries look
	// for a new one.
	LeaderTimeout = 800 * time.Millisecond
	// maxStoreWait is how long a leader may wait for a response of the store before an
	// entry that can reach the store takes over.
	maxStoreWait = 600 * time.Millisecond
	// StoreTestTimeout is the timeout of the call by which an entry tests whether it can
	// reach the store. A store that is slow for all entries is no reason to take over.
	StoreTestTimeout = 200 * time.Millisecond
	// storeRecovery is how long an entry must have reached the store before it replaces a
	// leader that waits for the store. The leader may be about to reach it again as well: it
	// repeats an append that got no response after 0.7 s.
	storeRecovery = time.Second
	// searchWindow is how long an agent's search for a leader counts.
	searchWindow = 700 * time.Millisecond
	// settleTime is how long agents may take to find a new leader. Until then, their
	// searches are no sign of trouble.
	settleTime = 1500 * time.Millisecond
)

// Survey holds the responses of the other entries to the question who leads.
type Survey struct {
	// Self is the address of this entry.
	Self netip.AddrPort
	// Processors is the number of processors of this entry. It may be a fraction, and is 0
	// if unknown.
	Processors float64
	// OtherEntries is the number of other entries known. Answers holds the responses by
	// the address of the entry. If there are many entries, only some are asked.
	OtherEntries int
	Answers      map[netip.AddrPort]msgs.Welcome
	// Agents is the number of agents that have looked for a leader recently.
	Agents int
}

// Leader returns the address and the epoch of the leader with the highest epoch in the
// survey. claimed is set if that entry itself responded that it leads.
func (s *Survey) Leader() (addr netip.AddrPort, epoch uint64, claimed bool) {
	for from, w := range s.Answers {
		switch {
		case w.Leading && w.Epoch >= epoch:
			addr, epoch, claimed = from, w.Epoch, true
		case w.Epoch > epoch:
			addr, epoch, claimed = w.Leader, w.Epoch, false
		}
	}
	return addr, epoch, claimed
}

// LeaderHeard reports whether another entry has recently received a message from the
// leader of the given epoch or a later one.
func (s *Survey) LeaderHeard(epoch uint64) bool {
	for _, w := range s.Answers {
		if w.Epoch >= epoch && w.LeaderHeard >= 0 && w.LeaderHeard < LeaderTimeout {
			return true
		}
	}
	return false
}

// ClaimDelay returns how long to wait before a claim of the epoch after the given one. It
// returns false if the entry should not claim, because another one is in contact with the
// leader or because this one may be cut off from all other processes. The delay grows with
// the entry's rank among those that responded, scaled up to the number of all entries.
func (s *Survey) ClaimDelay(epoch uint64) (time.Duration, bool) {
	if s.LeaderHeard(epoch) {
		return 0, false
	}
	if s.OtherEntries > 0 && len(s.Answers) == 0 && s.Agents == 0 {
		return 0, false
	}
	return min(time.Duration(s.rank()*s.OtherEntries/max(1, len(s.Answers)))*ClaimStagger, maxClaimDelay), true
}

// rank returns the number of entries in the survey that should claim before this one.
func (s *Survey) rank() int {
	before := 0
	for addr, w := range s.Answers {
		switch {
		case Stronger(w.Processors, s.Processors):
			before++
		case Stronger(s.Processors, w.Processors):
		case addr.Compare(s.Self) < 0:
			before++
		}
	}
	return before
}

const (
	// minProcessorRatio is the ratio of processors above which an entry is the better
	// leader. A change of leader costs more than a smaller difference gains.
	minProcessorRatio = 1.5
	// minTimeLeading is how long an entry must have led before it yields.
	minTimeLeading = 2 * time.Second
)

// Stronger reports whether an entry with the given processors is a better leader than
// another one. 0 means unknown.
func Stronger(processors, other float64) bool {
	return other > 0 && processors > minProcessorRatio*other
}

// ShouldYield reports whether a leader should let another entry take over that has more
// processors. led is how long it has led, and waiting is how long it has been waiting for
// the store.
func ShouldYield(processors, other float64, led, waiting time.Duration) bool {
	return Stronger(other, processors) && led > minTimeLeading && waiting < StoreTestTimeout
}

// LeaderSearches records when agents last looked for a leader. Its zero value is empty and
// ready for use.
type LeaderSearches struct {
	// last holds the time of the latest search by the agent's name.
	last map[string]time.Time
}

// Add records that an agent looks for a leader.
func (s *LeaderSearches) Add(now time.Time, node string) {
	if s.last == nil {
		s.last = map[string]time.Time{}
	}
	s.last[node] = now
}

// Count returns the number of agents that have looked for a leader recently.
func (s *LeaderSearches) Count(now time.Time) int {
	n := 0
	for node, last := range s.last {
		if now.Sub(last) > searchWindow {
			delete(s.last, node)
			continue
		}
		n++
	}
	return n
}

// WaitsForStore reports whether the leader that sent a ping seems to have lost the store, so
// that other entries should test whether they reach it.
func WaitsForStore(p *msgs.Ping) bool { return p.StoreWait > maxStoreWait }

// ShouldReplace reports whether a connected leader should be replaced, and why: it is leaving
// or yields, it has lost contact with the store although this entry has not, or more agents
// look for a leader than are connected to it. p is the leader's latest ping, searches is the
// number of agents that have looked for a leader recently, followed is how long this entry has
// been connected to the leader, and sinceStoreFailed the time since its latest failure to
// reach the store.
func ShouldReplace(p *msgs.Ping, searches int, followed, sinceStoreFailed time.Duration) (reason string, replace bool) {
	switch {
	case p.Leaving:
		return "the leader is leaving", true
	case p.Yield:
		return "the leader has fewer processors", true
	case WaitsForStore(p) && sinceStoreFailed > storeRecovery:
		return "the leader has lost the store", true
	case followed > settleTime && searches > p.Agents && searches > 1:
		return "agents cannot reach the leader", true
	}
	return "", false
}

// MergeAddrs returns a sorted list with the addresses of list and those of more other than self
// that a process can listen on, without duplicates. It never changes list, and appending to the result
// copies it, so that other goroutines may read both.
func MergeAddrs(list []netip.AddrPort, self netip.AddrPort, more ...netip.AddrPort) []netip.AddrPort {
	for _, addr := range more {
		if !addr.IsValid() || addr == self || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
			continue
		}
		if i, found := slices.BinarySearchFunc(list, addr, netip.AddrPort.Compare); !found {
			list = slices.Insert(slices.Clone(list), i, addr)
		}
	}
	return slices.Clip(list)
}
