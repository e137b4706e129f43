// Package elect decides when an entry should claim the leadership.
//
// The store decides who leads: it accepts the appends of the highest epoch only. A
// claim on a wrong suspicion therefore costs a handover and is never unsafe, so
// entries claim early, one after the other in the order of their addresses.
package elect

import (
	"net/netip"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// ClaimStagger spaces the claims of entries that miss the same leader.
	ClaimStagger = 200 * time.Millisecond
	// maxWait bounds the wait before a claim.
	maxWait = 2 * time.Second
	// LeaderTimeout is how long a leader may be silent before entries look for another.
	LeaderTimeout = 800 * time.Millisecond
	// storeTrouble is how long a leader may wait for an answer of the store before an
	// entry that reaches the store takes over.
	storeTrouble = 600 * time.Millisecond
	// StoreTestTimeout bounds the call by which an entry finds out that it reaches the store:
	// a store that is slow for all is no reason to take over.
	StoreTestTimeout = 200 * time.Millisecond
	// complaintFor is how long an agent's search for a leader counts.
	complaintFor = 700 * time.Millisecond
	// settleFor is how long agents may take to find a new leader.
	settleFor = 1500 * time.Millisecond
)

// Survey is what the other entries said when they were asked for a leader.
type Survey struct {
	Self netip.AddrPort
	// Processors is how much of a processor this entry has, 0 if it is unknown.
	Processors float64
	// OtherEntries is the number of other entries known, Answers holds what those said that
	// were asked and answered: all of a few, some of many.
	OtherEntries int
	Answers      map[netip.AddrPort]msgs.Welcome
	// Agents is the number of agents that looked for a leader lately.
	Agents int
}

// Leader returns the address and epoch of the leader that the survey found. Claimed
// is set if that entry said so itself.
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

// LeaderHeard reports whether another entry hears the leader of an epoch.
func (s *Survey) LeaderHeard(epoch uint64) bool {
	for _, w := range s.Answers {
		if w.Epoch >= epoch && w.LeaderHeard >= 0 && w.LeaderHeard < LeaderTimeout {
			return true
		}
	}
	return false
}

// ClaimDelay returns how long to wait before a claim, or false if the entry should not
// claim: another one hears the leader, or this one may be cut off from all others.
func (s *Survey) ClaimDelay(epoch uint64) (time.Duration, bool) {
	if s.LeaderHeard(epoch) {
		return 0, false
	}
	if s.OtherEntries > 0 && len(s.Answers) == 0 && s.Agents == 0 {
		return 0, false
	}
	return min(time.Duration(s.rank()*s.OtherEntries/max(1, len(s.Answers)))*ClaimStagger, maxWait), true
}

// rank returns the number of entries that should claim before this one.
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
	// strongerBy is how many times the processors make an entry the better leader: a
	// handover costs more than a small difference gains.
	strongerBy = 1.5
	// yieldAfter is how long an entry leads before it yields to a stronger one.
	yieldAfter = 2 * time.Second
)

// Stronger reports whether one entry's processors make it a better leader than
// another; 0 is unknown.
func Stronger(processors, other float64) bool {
	return other > 0 && processors > strongerBy*other
}

// ShouldYield reports whether a leader should let an entry with more processors lead, given
// for how long it has led and for how long it waits for the store.
func ShouldYield(processors, other float64, led, waiting time.Duration) bool {
	return Stronger(other, processors) && led > yieldAfter && waiting < StoreTestTimeout
}

// LeaderSearches holds when agents last looked for a leader. Its zero value is empty.
type LeaderSearches struct {
	at map[string]time.Time
}

// Add notes that an agent looks for a leader.
func (c *LeaderSearches) Add(now time.Time, node string) {
	if c.at == nil {
		c.at = map[string]time.Time{}
	}
	c.at[node] = now
}

// Count returns the number of agents that looked for a leader lately.
func (c *LeaderSearches) Count(now time.Time) int {
	n := 0
	for node, at := range c.at {
		if now.Sub(at) > complaintFor {
			delete(c.at, node)
			continue
		}
		n++
	}
	return n
}

// ShouldReplace reports whether a leader that is heard should be replaced: it has lost the
// store, or more agents miss it than it hears. followed is how long this entry has
// followed it.
func ShouldReplace(p *msgs.Ping, complaints int, followed time.Duration) (reason string, suspect bool) {
	switch {
	case p.Leaving:
		return "the leader is leaving", true
	case p.Yield:
		return "the leader has fewer processors", true
	case p.StoreWait > storeTrouble:
		return "the leader has lost the store", true
	case followed > settleFor && complaints > p.Agents && complaints > 1:
		return "agents miss the leader", true
	}
	return "", false
}

// MergeAddrs adds addresses to a sorted list of entries without those of self.
func MergeAddrs(list []netip.AddrPort, self netip.AddrPort, more ...netip.AddrPort) []netip.AddrPort {
	for _, addr := range more {
		if !addr.IsValid() || addr == self {
			continue
		}
		if i, found := slices.BinarySearchFunc(list, addr, netip.AddrPort.Compare); !found {
			list = slices.Insert(list, i, addr)
		}
	}
	return list
}
