// Package core implements the deterministic part of an entry: the state that it
// reads from the log, the records that it appends, the cells that it leads and the
// VMs that it knows.
//
// Each event is passed in together with its time. Nothing in the package waits or
// sends anything, so that tests can run whole entries in virtual time.
package core

import (
	"hash/fnv"
	"log/slog"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fleet/member"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/leader"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Config describes one entry.
type Config struct {
	Name string
	Zone string
	// WriterID identifies this incarnation of the entry. It must differ from the id
	// of every other incarnation that has written to the log.
	WriterID string
	// AdvertiseAddr is the address that agents and other entries connect to.
	AdvertiseAddr netip.AddrPort
	// Cells are the names of the cells that this entry may lead.
	Cells []string
	// SnapshotEvery is the time between two snapshots of the state in the log; 0
	// means the default.
	SnapshotEvery time.Duration
	Log           *slog.Logger
}

// Core is the deterministic part of an entry. Create it with New. It is not safe
// for concurrent use.
type Core struct {
	cfg     Config
	fold    *fold.Fold
	writer  *writer.Writer
	members *member.Table
	// leaders holds the entry's role in each of its cells, by name of the cell.
	leaders map[string]*leader.Leader
	// estimates holds the estimated slowdowns of services by batch work.
	estimates *learn.Model
	// pendingCommits holds the records that Commit queued and that have no result yet,
	// and commitResults the results since the last call of CommitResults.
	pendingCommits []pendingCommit
	commitResults  []CommitResult
	barriers       barriers
	// readStartedAt is the start of the latest read that reached the end of the log.
	readStartedAt time.Time
	// peerReplies holds the latest reply of each other entry, by writer id.
	peerReplies map[string]peerReply
	// tickedAt is the time of the latest Tick, and listeningSince the time of the first one
	// since the start or since a pause.
	tickedAt, listeningSince time.Time
	// ready is set once the log was read to its end for the first time.
	ready bool
	// leaving is set once Leave was called.
	leaving bool
}

// New returns the core of an entry that starts at now with the given state, which
// may be nil.
func New(now time.Time, cfg Config, state *schema.State) *Core {
	c := &Core{
		cfg: cfg, fold: &fold.Fold{}, writer: writer.New(cfg.WriterID), members: &member.Table{},
		leaders: map[string]*leader.Leader{}, estimates: &learn.Model{},
	}
	if state != nil {
		c.fold = fold.Decode(state)
	}
	for _, cell := range cfg.Cells {
		c.leaders[cell] = leader.New(cell, c.fold, c.writer, c.members, c.estimates, cfg.SnapshotEvery, cfg.Log)
	}
	c.writer.Add(now, &schema.Record{Body: &schema.Record_Hello{Hello: &schema.Hello{
		Name: cfg.Name, Zone: cfg.Zone, PeerAddr: cfg.AdvertiseAddr.String(),
	}}})
	return c
}

// Fold returns the state that results from the log. The caller must not change it.
func (c *Core) Fold() *fold.Fold { return c.fold }

// Writer returns the writer that batches the entry's records for the log.
func (c *Core) Writer() *writer.Writer { return c.writer }

// Members returns the known VMs.
func (c *Core) Members() *member.Table { return c.members }

// Leader returns the entry's role in a cell, nil if it may not lead the cell.
func (c *Core) Leader(cell string) *leader.Leader { return c.leaders[cell] }

// Ready reports whether the log has been read to its end at least once.
func (c *Core) Ready() bool { return c.ready }

// Read applies the entries that a read of the log returned to the state. atEnd is set
// if the log had no more entries. Reads may overlap.
func (c *Core) Read(now time.Time, read LogRead, entries []port.Entry, atEnd bool) {
	for _, e := range entries {
		effect := c.fold.Apply(e.Offset, e.Data)
		if effect.Writer != c.writer.ID() {
			continue
		}
		for _, r := range c.writer.Applied(effect) {
			c.handleResult(now, r)
		}
	}
	if !atEnd {
		return
	}
	c.ready = true
	if read.startedAt.After(c.readStartedAt) {
		c.readStartedAt = read.startedAt
	}
	c.writer.Read(now, c.fold.Next())
	c.barriers.settle(read.barrier, nil)
	for _, l := range c.leaders {
		l.Read(now)
	}
}

// Reload replaces the state by one that was loaded from another entry or from a
// snapshot, and returns true. It returns false if the current state is as new.
func (c *Core) Reload(now time.Time, state *schema.State) bool {
	if state.GetOffset() <= c.fold.Next() {
		return false
	}
	c.fold = fold.Decode(state)
	for _, l := range c.leaders {
		l.ReplaceState(c.fold)
	}
	own, _ := c.fold.Writer(c.writer.ID())
	for _, r := range c.writer.SkipTo(own.Seq) {
		c.handleResult(now, r)
	}
	return true
}

// handleResult passes the result of a record to the leaders and, if Commit queued the
// record, adds it to the results for CommitResults.
func (c *Core) handleResult(now time.Time, r writer.Result) {
	for _, l := range c.leaders {
		l.Resolved(now, r)
	}
	c.resolveCommit(r)
}

// Tick makes the decisions that are due at now.
func (c *Core) Tick(now time.Time) {
	c.listen(now)
	c.members.Expire(now)
	c.expireCommits(now)
	c.announceAlive(now)
	if c.leaving || !c.ready {
		return
	}
	for _, cell := range c.cfg.Cells {
		c.leaders[cell].Tick(now)
	}
}

// Beat handles an agent's heartbeat and returns the reply.
func (c *Core) Beat(now time.Time, req *schema.BeatRequest) *schema.BeatReply {
	m := req.GetMember()
	reply := &schema.BeatReply{}
	current := false
	if req.GetBrief() {
		current = c.members.Renew(now, m)
		reply.WantWhole = !current
	} else {
		current = c.members.Announce(now, m)
	}
	if l := c.leaders[m.GetCell()]; l != nil && current && !c.leaving {
		c.estimates.Observe(now, c.fold, req)
		l.Beat(now, req, reply)
	}
	reply.Entries = c.entryAddrs()
	reply.EntriesHash = hashAddrs(reply.Entries)
	if reply.EntriesHash == req.GetEntriesHash() {
		reply.Entries = nil
	}
	if w, ok := c.fold.Writer(c.fold.Cell(m.GetCell()).Leader); ok && !w.Left {
		reply.LeaderAddr = w.PeerAddr
	}
	return reply
}

// hashAddrs returns a hash of a list of entries. An agent sends the hash of the list
// that it has, so that a reply contains the list only if it differs.
func hashAddrs(addrs []string) uint64 {
	h := fnv.New64a()
	for _, addr := range addrs {
		h.Write([]byte(addr))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// entryAddrs returns the addresses of the entries that the log lists.
func (c *Core) entryAddrs() []string {
	var addrs []string
	for _, e := range c.fold.Entries() {
		addrs = append(addrs, e.PeerAddr)
	}
	return addrs
}

// Leave stops the entry's decisions and queues the record that removes it from the
// list of entries.
func (c *Core) Leave(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.writer.Add(now, &schema.Record{Body: &schema.Record_Goodbye{Goodbye: &schema.Goodbye{}}})
}

// Poke is a request to a VM to send a heartbeat immediately.
type Poke struct {
	Member  *schema.Member
	Request *schema.PokeRequest
}

// Pokes returns the VMs whose assignments changed since the last call, and those
// that do not follow this entry's leadership yet.
func (c *Core) Pokes(now time.Time) []Poke {
	var pokes []Poke
	for _, cell := range c.cfg.Cells {
		l := c.leaders[cell]
		req := &schema.PokeRequest{Term: l.Term(), Leader: c.cfg.AdvertiseAddr.String()}
		for _, vm := range l.Changed(now) {
			if m, ok := c.members.Get(vm); ok {
				pokes = append(pokes, Poke{m, req})
			}
		}
	}
	return pokes
}
