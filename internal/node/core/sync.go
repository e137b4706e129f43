package core

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// aliveEvery is how long an entry may be silent in the log.
	aliveEvery = 3 * time.Second
	// freshFor is the age of another entry's latest answer up to which this one
	// knows the same upstreams as it.
	freshFor = 2500 * time.Millisecond
)

// MembersSince answers another entry's question for changed VMs. Versions of
// another incarnation of this entry mean nothing, so the answer is whole then.
func (c *Core) MembersSince(now time.Time, req *schema.MembersRequest) *schema.MembersReply {
	reply := &schema.MembersReply{Version: c.members.Version(), Epoch: c.writer.ID()}
	since := req.GetSince()
	if req.GetEpoch() != reply.Epoch {
		since, reply.Whole = 0, true
	}
	reply.Members = c.members.ChangedSince(since)
	for _, cell := range c.cfg.Cells {
		reply.Promises = append(reply.Promises, c.leaders[cell].Promises(now))
	}
	for _, w := range c.fold.Entries() {
		reply.Entries = append(reply.Entries, w.ID)
	}
	return reply
}

// MergePeerReply takes another entry's answer to a question that was asked at asked.
func (c *Core) MergePeerReply(now, asked time.Time, reply *schema.MembersReply) {
	for _, m := range reply.GetMembers() {
		c.members.Merge(now, m)
	}
	for _, p := range reply.GetPromises() {
		if l := c.leaders[p.GetCell()]; l != nil {
			l.RecordPeerPromise(now, reply.GetEpoch(), p)
		}
	}
	if c.synced == nil {
		c.synced = map[string]sync{}
	}
	c.synced[reply.GetEpoch()] = sync{asked, reply.GetEntries()}
}

// sync is another entry's latest answer.
type sync struct {
	// asked is when it was asked for: the answer is no older.
	asked   time.Time
	entries []string
}

// FreshUntil returns until when this entry surely knows what all others knew a
// moment before: each answered of late, and none knows an entry that this one
// does not. It is zero if that does not hold.
func (c *Core) FreshUntil(now time.Time) time.Time {
	if !c.ready {
		return time.Time{}
	}
	until := now.Add(freshFor)
	known := map[string]bool{}
	for _, w := range c.fold.Entries() {
		known[w.ID] = true
	}
	for id := range known {
		if id == c.writer.ID() {
			continue
		}
		s, ok := c.synced[id]
		if !ok {
			return time.Time{}
		}
		if end := s.asked.Add(freshFor); end.Before(until) {
			until = end
		}
		for _, other := range s.entries {
			if !known[other] {
				return time.Time{}
			}
		}
	}
	return until
}

// tickAlive says in the log that the entry lives, if it wrote nothing else.
func (c *Core) tickAlive(now time.Time) {
	if c.writer.IdleTime(now) >= aliveEvery && !c.leaving {
		c.writer.Add(now, &schema.Record{Body: &schema.Record_Alive{Alive: &schema.Alive{}}})
	}
}
