package core

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fleet/member"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// aliveInterval is the time without an append after which the entry appends a
	// record to show that it is alive.
	aliveInterval = 3 * time.Second
	// freshDuration is how long another entry's reply counts as current, starting when the
	// request was sent. Meanwhile this entry may assume that both know the same upstreams.
	freshDuration = 2500 * time.Millisecond
	// maxTickGap is the time between two calls of Tick above which the process counts as
	// having been paused.
	maxTickGap = time.Second
)

// MembersSince handles another entry's request for the VMs that changed after a
// version. If the version is of another incarnation of this entry, it cannot be
// compared, and the reply lists all VMs.
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

// MergePeerReply merges another entry's reply to a MembersRequest that was sent at
// sentAt.
func (c *Core) MergePeerReply(now, sentAt time.Time, reply *schema.MembersReply) {
	for _, m := range reply.GetMembers() {
		c.members.Merge(now, m)
	}
	for _, p := range reply.GetPromises() {
		if l := c.leaders[p.GetCell()]; l != nil {
			l.RecordPeerPromise(now, reply.GetEpoch(), p)
		}
	}
	if c.peerReplies == nil {
		c.peerReplies = map[string]peerReply{}
	}
	c.peerReplies[reply.GetEpoch()] = peerReply{sentAt, reply.GetEntries()}
}

// peerReply is the latest reply of another entry.
type peerReply struct {
	// sentAt is when the request was sent. The reply's content is at least as recent.
	sentAt time.Time
	// entries holds the writer ids of the entries that the other entry knows.
	entries []string
}

// FreshUntil returns the time until which this entry may assume that it knows the same
// upstreams as all other entries: freshDuration after the earliest
// sentAt of their latest replies, or after now if there is no other entry. It returns the
// zero time if the log was not yet read to its end, if an entry has not replied yet, or if
// an entry knows another one that this entry does not know.
func (c *Core) FreshUntil(now time.Time) time.Time {
	if !c.ready {
		return time.Time{}
	}
	until := now.Add(freshDuration)
	known := map[string]bool{}
	for _, w := range c.fold.Entries() {
		known[w.ID] = true
	}
	for id := range known {
		if id == c.writer.ID() {
			continue
		}
		reply, ok := c.peerReplies[id]
		if !ok {
			return time.Time{}
		}
		if end := reply.sentAt.Add(freshDuration); end.Before(until) {
			until = end
		}
		for _, other := range reply.entries {
			if !known[other] {
				return time.Time{}
			}
		}
	}
	return until
}

// KnowsVMs reports whether this entry may assume that it knows all VMs: it is in contact
// with all other entries, and has listened to heartbeats for long enough that each VM has
// announced itself to one of them.
func (c *Core) KnowsVMs(now time.Time) bool {
	return now.Before(c.FreshUntil(now)) && now.Sub(c.tickedAt) <= maxTickGap &&
		now.Sub(c.listeningSince) >= member.HeartbeatTimeout
}

// listen notes that the entry runs. After a pause, VMs may have been forgotten.
func (c *Core) listen(now time.Time) {
	if now.Sub(c.tickedAt) > maxTickGap {
		c.listeningSince = now
	}
	c.tickedAt = now
}

// announceAlive queues a record that shows that the entry is alive, unless it
// appended another record within aliveInterval.
func (c *Core) announceAlive(now time.Time) {
	if c.writer.IdleTime(now) >= aliveInterval && !c.leaving {
		c.writer.Add(now, &schema.Record{Body: &schema.Record_Alive{Alive: &schema.Alive{}}})
	}
}
