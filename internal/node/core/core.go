// Package core is the deterministic part of an entry: what it reads from the
// log, what it appends, which cells it leads and which VMs it knows.
//
// Events come in with their time, and nothing here waits, sleeps or sends, so
// that tests drive whole entries in virtual time.
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
	// WriterID identifies this incarnation among all that ever wrote to the log.
	WriterID      string
	AdvertiseAddr netip.AddrPort
	// Cells are those that this entry may lead.
	Cells []string
	// SnapshotEvery spaces the snapshots of the state in the log; 0 means the
	// default.
	SnapshotEvery time.Duration
	Log           *slog.Logger
}

// Core is the deterministic part of an entry. Make it with New. It is not safe
// for concurrent use.
type Core struct {
	cfg     Config
	fold    *fold.Fold
	writer  *writer.Writer
	members *member.Table
	leaders map[string]*leader.Leader
	learned *learn.Model
	// commits holds the records whose fate somebody waits for, and fates those
	// that became certain since the last call of Fates.
	commits []commit
	fates   []CommitResult
	// synced holds the other entries' latest answers by writer.
	synced map[string]sync
	// ready is set once the log was read to its end for the first time.
	ready   bool
	leaving bool
}

// New returns an entry that starts with state, nil for none.
func New(now time.Time, cfg Config, state *schema.State) *Core {
	c := &Core{
		cfg: cfg, fold: &fold.Fold{}, writer: writer.New(cfg.WriterID), members: &member.Table{},
		leaders: map[string]*leader.Leader{}, learned: &learn.Model{},
	}
	if state != nil {
		c.fold = fold.Decode(state)
	}
	for _, cell := range cfg.Cells {
		c.leaders[cell] = leader.New(cell, c.fold, c.writer, c.members, c.learned, cfg.SnapshotEvery, cfg.Log)
	}
	c.writer.Add(now, &schema.Record{Body: &schema.Record_Hello{Hello: &schema.Hello{
		Name: cfg.Name, Zone: cfg.Zone, PeerAddr: cfg.AdvertiseAddr.String(),
	}}})
	return c
}

// Fold returns the state of the log. The caller must not change it.
func (c *Core) Fold() *fold.Fold { return c.fold }

// Writer returns the entry's writer, for its statistics.
func (c *Core) Writer() *writer.Writer { return c.writer }

// Members returns the known VMs.
func (c *Core) Members() *member.Table { return c.members }

// Leader returns the entry's part in a cell, or nil.
func (c *Core) Leader(cell string) *leader.Leader { return c.leaders[cell] }

// Ready reports whether the log was read to its end once.
func (c *Core) Ready() bool { return c.ready }

// Read takes entries of the log. atEnd says that there were no more.
func (c *Core) Read(now time.Time, entries []port.Entry, atEnd bool) {
	for _, e := range entries {
		effect := c.fold.Apply(e.Offset, e.Data)
		if effect.Writer != c.writer.ID() {
			continue
		}
		for _, r := range c.writer.Applied(effect) {
			c.resolved(now, r)
		}
	}
	if !atEnd {
		return
	}
	c.ready = true
	c.writer.Read(now, c.fold.Next())
	for _, l := range c.leaders {
		l.Read(now)
	}
}

// Reload replaces the state after the log deleted records that were not read.
func (c *Core) Reload(now time.Time, state *schema.State) {
	if state.GetOffset() < c.fold.Next() {
		return
	}
	c.fold = fold.Decode(state)
	for _, l := range c.leaders {
		l.ReplaceState(c.fold)
	}
	own, _ := c.fold.Writer(c.writer.ID())
	for _, r := range c.writer.SkipTo(own.Seq) {
		c.resolved(now, r)
	}
}

func (c *Core) resolved(now time.Time, r writer.Result) {
	for _, l := range c.leaders {
		l.Resolved(now, r)
	}
	c.settle(r)
}

// Tick makes the decisions that are due.
func (c *Core) Tick(now time.Time) {
	c.members.Expire(now)
	c.tickCommits(now)
	c.tickAlive(now)
	if c.leaving || !c.ready {
		return
	}
	for _, cell := range c.cfg.Cells {
		c.leaders[cell].Tick(now)
	}
}

// Beat answers an agent's announcement.
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
		c.learned.Observe(now, c.fold, req)
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

func hashAddrs(addrs []string) uint64 {
	h := fnv.New64a()
	for _, addr := range addrs {
		h.Write([]byte(addr))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

func (c *Core) entryAddrs() []string {
	var addrs []string
	for _, e := range c.fold.Entries() {
		addrs = append(addrs, e.PeerAddr)
	}
	return addrs
}

// Leave stops all decisions and takes the entry out of the list of entries.
func (c *Core) Leave(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.writer.Add(now, &schema.Record{Body: &schema.Record_Goodbye{Goodbye: &schema.Goodbye{}}})
}

// Poke is a VM that should send a beat at once, and what to tell it.
type Poke struct {
	Member  *schema.Member
	Request *schema.PokeRequest
}

// Pokes returns the VMs whose assignments changed since the last call, or that
// have not followed this entry's leadership yet.
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
