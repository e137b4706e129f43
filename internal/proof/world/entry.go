package world

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// SnapshotEvery spaces the snapshots of a world's entries.
const SnapshotEvery = 7 * time.Second

// Entry is an entry of a world.
type Entry struct {
	*Proc
	Core     *core.Core
	world    *World
	addr     netip.AddrPort
	zone     string
	services map[string]*flow.Service
	members  uint64
	config   uint64
	waiters  map[uint64]func(core.CommitResult)
	reading  bool
	syncedTo map[*Entry]*schema.MembersRequest
	// seen holds the highest revision of each team that this incarnation had.
	seen map[string]uint64
}

func (w *World) newAddr(owner any) netip.AddrPort {
	w.made++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(w.made >> 8), byte(w.made)}), 1)
	w.addrs[addr] = owner
	return addr
}

// AddEntry adds an entry that starts now.
func (w *World) AddEntry() *Entry {
	i := len(w.Entries)
	e := &Entry{Proc: &Proc{Name: fmt.Sprintf("entry-%d", i+1)}, world: w, zone: zone(i)}
	e.addr = w.newAddr(e)
	w.Entries = append(w.Entries, e)
	e.start()
	return e
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func (e *Entry) start() {
	w := e.world
	e.services = map[string]*flow.Service{}
	e.waiters = map[uint64]func(core.CommitResult){}
	e.syncedTo = map[*Entry]*schema.MembersRequest{}
	e.seen = map[string]uint64{}
	e.members, e.config, e.reading = 0, 0, false
	e.Core = core.New(w.clock(e.Proc), core.Config{
		Name: e.Name, Zone: e.zone, WriterID: fmt.Sprintf("%s-%d", e.Name, e.generation), AdvertiseAddr: e.addr,
		Cells: []string{"main"}, SnapshotEvery: SnapshotEvery, Log: w.logger.With("proc", e.Name),
	}, nil)
	w.every(e.Proc, readEvery, e.read)
	w.every(e.Proc, tickEvery, e.tick)
	w.every(e.Proc, syncEvery, e.sync)
	e.pump()
}

// Kill ends the entry at once.
func (e *Entry) Kill() {
	e.Dead = true
	for _, done := range e.waiters {
		done(core.CommitResult{Err: errors.New("entry died")})
	}
}

// Restart starts a dead entry as a new incarnation without memory.
func (e *Entry) Restart() {
	if !e.Dead {
		return
	}
	e.Dead = false
	e.generation++
	e.pausedUntil, e.logCutUntil, e.rate = time.Time{}, time.Time{}, 0
	e.start()
}

func (e *Entry) clock() time.Time { return e.world.clock(e.Proc) }

// observe checks that no revision ever falls.
func (e *Entry) observe() {
	if !e.Core.Ready() {
		return
	}
	for _, t := range e.Core.Fold().Teams() {
		if t.Revision < e.seen[t.Name] {
			e.world.History.fault("%s: revision of %s fell from %d to %d", e.Name, t.Name, e.seen[t.Name], t.Revision)
		}
		e.seen[t.Name] = t.Revision
	}
}

func (e *Entry) deliver() {
	for _, fate := range e.Core.CommitResults() {
		if done := e.waiters[fate.ID]; done != nil {
			delete(e.waiters, fate.ID)
			done(fate)
		}
	}
}

func (e *Entry) tick() {
	e.Core.Tick(e.clock())
	e.deliver()
	for _, p := range e.Core.Pokes(e.clock()) {
		addr := netip.MustParseAddrPort(p.Member.GetAddr())
		if vm, ok := e.world.addrs[addr].(*VM); ok {
			e.world.send(e.Proc, vm.Proc, func() {
				vm.Host.Poked(p.Request)
				vm.cycle()
			})
		}
	}
	e.promises()
	e.reroute()
	fresh := e.Core.FreshUntil(e.clock())
	for _, s := range e.services {
		s.FreshUntil = fresh
	}
	e.pump()
}

func (e *Entry) reroute() {
	f, members := e.Core.Fold(), e.Core.Members()
	if e.members == members.Version() && e.config == f.ConfigVersion() {
		return
	}
	e.members, e.config = members.Version(), f.ConfigVersion()
	targets := e.Core.Targets(hop)
	for _, t := range f.Teams() {
		for name, cfg := range t.Config.Services {
			key := t.Name + "/" + name
			if e.services[key] == nil {
				e.services[key] = &flow.Service{}
			}
			e.services[key].Update(e.clock(), targets[key], cfg.Shares(), len(f.Entries()))
			e.services[key].RetryShare = t.Config.Retry.Share()
		}
	}
}

// sync takes the changes of members from the other entries.
func (e *Entry) sync() {
	for _, peer := range e.world.Entries {
		if peer == e {
			continue
		}
		req := e.syncedTo[peer]
		if req == nil {
			req = &schema.MembersRequest{}
			e.syncedTo[peer] = req
		}
		asked := e.clock()
		call(e.world, e.Proc, peer.Proc, callTimeout, func(reply func(*schema.MembersReply)) {
			reply(peer.Core.MembersSince(peer.clock(), req))
		}, func(r *schema.MembersReply) {
			if r == nil {
				return
			}
			req.Since, req.Epoch = r.GetVersion(), r.GetEpoch()
			e.Core.MergePeerReply(e.clock(), asked, r)
		})
	}
}

func (e *Entry) promises() {
	l := e.Core.Leader("main")
	missing, d := l.MissingPromises(e.clock())
	for _, m := range missing {
		peer, ok := e.world.addrs[netip.MustParseAddrPort(m.PeerAddr)].(*Entry)
		if !ok {
			continue
		}
		term, own := l.Term(), e.Core.Writer().ID()
		call(e.world, e.Proc, peer.Proc, callTimeout, func(reply func(*bool)) {
			granted := peer.Core.Writer().ID() == m.ID && peer.Core.Leader("main").Promise(peer.clock(), own, term, d)
			reply(&granted)
		}, func(granted *bool) {
			if granted != nil && *granted {
				e.Core.Leader("main").PromiseGranted(e.clock(), m.ID)
			}
		})
	}
}
