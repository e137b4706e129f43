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

// SnapshotEvery is the time between two snapshots by the leader.
const SnapshotEvery = 7 * time.Second

// Entry is a simulated entry.
type Entry struct {
	*Proc
	Core  *core.Core
	world *World
	addr  netip.AddrPort
	zone  string
	// services holds the routes by "team/service".
	services map[string]*flow.Service
	// members and config are the versions of the members and the configuration
	// that services was computed from.
	members uint64
	config  uint64
	// pendingCommits holds the callbacks of records without a result, by record id.
	pendingCommits map[uint64]func(core.CommitResult)
	// pendingBarriers holds the callbacks of read barriers without a result, by id.
	pendingBarriers map[uint64]func(error)
	// reading is set while a read of the log is under way, barrierReading while one for
	// read barriers is.
	reading, barrierReading bool
	// syncRequests holds the next request for changed members to each other entry.
	syncRequests map[*Entry]*schema.MembersRequest
	// maxRevisions holds the highest configuration revision of each team that this
	// incarnation had.
	maxRevisions map[string]uint64
}

func (w *World) newAddr(owner any) netip.AddrPort {
	w.addrCount++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(w.addrCount >> 8), byte(w.addrCount)}), 1)
	w.addrs[addr] = owner
	return addr
}

// AddEntry adds an entry and starts it.
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
	e.pendingCommits = map[uint64]func(core.CommitResult){}
	e.syncRequests = map[*Entry]*schema.MembersRequest{}
	e.maxRevisions = map[string]uint64{}
	e.pendingBarriers = map[uint64]func(error){}
	e.members, e.config, e.reading, e.barrierReading = 0, 0, false, false
	e.Core = core.New(w.clock(e.Proc), core.Config{
		Name: e.Name, Zone: e.zone, WriterID: fmt.Sprintf("%s-%d", e.Name, e.incarnation), AdvertiseAddr: e.addr,
		Cells: []string{"main"}, SnapshotEvery: SnapshotEvery, Log: w.logger.With("proc", e.Name),
	}, nil)
	w.runEvery(e.Proc, logPollInterval, e.read)
	w.runEvery(e.Proc, tickInterval, e.tick)
	w.runEvery(e.Proc, memberSyncInterval, e.syncMembers)
	e.appendPending()
}

// Kill kills the entry. Its pending commits fail.
func (e *Entry) Kill() {
	e.Dead = true
	for _, done := range e.pendingCommits {
		done(core.CommitResult{Err: errors.New("entry died")})
	}
}

// Restart starts a dead entry as a new incarnation, which has to read the log.
func (e *Entry) Restart() {
	if !e.Dead {
		return
	}
	e.Dead = false
	e.incarnation++
	e.pausedUntil, e.logCutUntil, e.clockRate = time.Time{}, time.Time{}, 0
	e.start()
}

func (e *Entry) clock() time.Time { return e.world.clock(e.Proc) }

// checkRevisions records a violation if a team's revision went back.
func (e *Entry) checkRevisions() {
	if !e.Core.Ready() {
		return
	}
	for _, t := range e.Core.Fold().Teams() {
		if t.Revision < e.maxRevisions[t.Name] {
			e.world.History.addViolation("%s: revision of %s went back from %d to %d",
				e.Name, t.Name, e.maxRevisions[t.Name], t.Revision)
		}
		e.maxRevisions[t.Name] = t.Revision
	}
}

// deliverResults passes the results of commits and read barriers to the callbacks that
// wait for them.
func (e *Entry) deliverResults() {
	for _, result := range e.Core.CommitResults() {
		if done := e.pendingCommits[result.ID]; done != nil {
			delete(e.pendingCommits, result.ID)
			done(result)
		}
	}
	for _, result := range e.Core.BarrierResults() {
		if done := e.pendingBarriers[result.ID]; done != nil {
			delete(e.pendingBarriers, result.ID)
			done(result.Err)
		}
	}
}

func (e *Entry) tick() {
	e.Core.Tick(e.clock())
	e.deliverResults()
	for _, p := range e.Core.Pokes(e.clock()) {
		addr := netip.MustParseAddrPort(p.Member.GetAddr())
		if vm, ok := e.world.addrs[addr].(*VM); ok {
			e.world.send(e.Proc, vm.Proc, func() {
				vm.Host.Poked(p.Request)
				vm.cycle()
			})
		}
	}
	e.requestPromises()
	e.updateRoutes()
	fresh := e.Core.FreshUntil(e.clock())
	for _, s := range e.services {
		s.FreshUntil = fresh
	}
	e.appendPending()
}

// updateRoutes updates the upstreams of all services if the members or the
// configuration changed.
func (e *Entry) updateRoutes() {
	f, members := e.Core.Fold(), e.Core.Members()
	if e.members == members.Version() && e.config == f.ConfigVersion() {
		return
	}
	e.members, e.config = members.Version(), f.ConfigVersion()
	targets := e.Core.Targets(oneWayDelay)
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

// syncMembers requests the members that changed from each other entry.
func (e *Entry) syncMembers() {
	for _, peer := range e.world.Entries {
		if peer == e {
			continue
		}
		req := e.syncRequests[peer]
		if req == nil {
			req = &schema.MembersRequest{}
			e.syncRequests[peer] = req
		}
		sentAt := e.clock()
		call(e.world, e.Proc, peer.Proc, callTimeout, func(reply func(*schema.MembersReply)) {
			reply(peer.Core.MembersSince(peer.clock(), req))
		}, func(r *schema.MembersReply) {
			if r == nil {
				return
			}
			req.Since, req.Epoch = r.GetVersion(), r.GetEpoch()
			e.Core.MergePeerReply(e.clock(), sentAt, r)
		})
	}
}

// requestPromises requests the promises that the leader still needs to extend its
// term while the log does not respond.
func (e *Entry) requestPromises() {
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
