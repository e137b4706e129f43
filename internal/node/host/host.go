// Package host is the deterministic part of an agent: which entry it announces
// the VM to, what runs on the VM, and which requests get a slot.
//
// Events come in with their time, and nothing here waits, sleeps or sends.
package host

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/front/once"
	"github.com/ebonyarch/ebonyarch/internal/sched/guard"
	"github.com/ebonyarch/ebonyarch/internal/sched/runner"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// workerSilence is how long the worker may be silent before the VM stops to
// announce itself, so that its lease ends.
const workerSilence = 3 * time.Second

// Config describes a VM.
type Config struct {
	// Member is the VM as it is announced, without what changes.
	Member *schema.Member
	// Entries are the entries known at the start; there is at least one.
	Entries []netip.AddrPort
}

// Host is the deterministic part of an agent. Make it with New. It is not safe
// for concurrent use.
type Host struct {
	cfg    Config
	Runner *runner.Runner
	once   *once.Table
	gates  map[string]*gate.Gate
	guard  guard.Guard
	// member is what was announced last; its version grows with each change.
	member *schema.Member
	// known is the version of the member that the entry has whole, 0 for none.
	known uint64
	// announced is the version in the latest beat.
	announced uint64
	// entriesHash identifies the list of entries learned last.
	entriesHash uint64
	// entry is the one announced to, and entries all that are known.
	entry   netip.AddrPort
	entries []netip.AddrPort
	// misses counts the entries that did not answer since the leader last did.
	misses  int
	leaving bool
	// configVersion is that of the leader's latest answer, at answeredAt.
	configVersion uint64
	answeredAt    time.Time
	listedAt      time.Time
	// running counts the requests that hold a slot.
	running int
}

// New returns the host of an agent that starts now.
func New(now time.Time, cfg Config) *Host {
	cfg.Member.Incarnation = now.UnixNano()
	return &Host{
		cfg: cfg, Runner: runner.New(cfg.Member.GetCapacity()), once: once.New(now),
		gates: map[string]*gate.Gate{}, entries: cfg.Entries, entry: cfg.Entries[0], listedAt: now,
	}
}

// Leave makes the VM take no more work and give its batch attempts back.
func (h *Host) Leave() {
	h.leaving = true
	h.Runner.Leave()
}

// Leaving reports whether Leave was called.
func (h *Host) Leaving() bool { return h.leaving }

// Drained reports whether nothing is left to finish and the leaving was
// announced.
func (h *Host) Drained() bool {
	return h.leaving && h.Runner.Idle() && h.running == 0 && h.member.GetLeaving()
}

// Entry returns the entry that the VM announces itself to.
func (h *Host) Entry() netip.AddrPort { return h.entry }

// LastLeaderReply returns when the leader last answered and the version of the
// configuration that it had.
func (h *Host) LastLeaderReply() (time.Time, uint64) { return h.answeredAt, h.configVersion }

// Listed takes the worker's own account of its attempts.
func (h *Host) Listed(now time.Time, tasks []*schema.WorkerTask) {
	h.listedAt = now
	h.Runner.Listed(now, tasks)
	h.updateGates()
}

// NextHeartbeat returns the next beat and the entry that it goes to, or nil if
// the VM should fall silent because its worker has.
func (h *Host) NextHeartbeat(now time.Time) (*schema.BeatRequest, netip.AddrPort) {
	if now.Sub(h.listedAt) > workerSilence {
		return nil, h.entry
	}
	m := proto.Clone(h.cfg.Member).(*schema.Member)
	m.Version, m.Leaving, m.Replicas = h.member.GetVersion(), h.leaving, h.Runner.Replicas()
	if !proto.Equal(m, h.member) {
		m.Version++
		h.member = m
	}
	req := &schema.BeatRequest{Member: h.member, ConfigVersion: h.configVersion, EntriesHash: h.entriesHash}
	if h.known == h.member.GetVersion() {
		req.Brief = true
		req.Member = &schema.Member{
			Vm: h.member.GetVm(), Cell: h.member.GetCell(), Incarnation: h.member.GetIncarnation(),
			Version: h.member.GetVersion(),
		}
	}
	h.announced = h.member.GetVersion()
	h.Runner.Fill(req)
	return req, h.entry
}

// HeartbeatFailed reports that an entry did not answer; the next beat goes to another.
func (h *Host) HeartbeatFailed(to netip.AddrPort) {
	if to != h.entry {
		return
	}
	h.misses++
	h.next()
}

// Poked takes a leader's request for a beat. A leader of a higher term than the
// one that the VM follows gets the VM's announcements from now on.
func (h *Host) Poked(req *schema.PokeRequest) {
	leader, err := netip.ParseAddrPort(req.GetLeader())
	if err == nil && req.GetTerm() > h.Runner.Term() {
		h.moveTo(leader)
	}
}

// next turns to the next entry known.
func (h *Host) next() {
	i := slices.Index(h.entries, h.entry)
	h.moveTo(h.entries[(i+1)%len(h.entries)])
}

// moveTo announces to another entry from now on. The announcement gets a new
// version, so that it outranks the silence noted by the former entry.
func (h *Host) moveTo(entry netip.AddrPort) {
	if entry == h.entry {
		return
	}
	h.entry, h.known = entry, 0
	if h.member != nil {
		m := proto.Clone(h.member).(*schema.Member)
		m.Version++
		h.member = m
	}
}

// Replied takes the answer to a beat that was sent at sent. It returns the lease
// that is left for the worker, 0 if the answer renewed none, and whether the
// next beat should follow at once because it goes to another entry.
func (h *Host) Replied(now, sent time.Time, reply *schema.BeatReply) (lease time.Duration, again bool) {
	h.Runner.Replied(sent, reply)
	h.learnEntries(reply.GetEntries())
	h.entriesHash = reply.GetEntriesHash()
	h.known = h.announced
	if reply.GetWantWhole() {
		h.known = 0
		return 0, true
	}
	if reply.GetLeader() {
		h.misses = 0
		h.configVersion, h.answeredAt = reply.GetConfigVersion(), now
		return h.Runner.Lease(now), false
	}
	leader, err := netip.ParseAddrPort(reply.GetLeaderAddr())
	if err == nil && leader == h.entry {
		// It was the leader once and does not know of another: it may have lost the
		// log, so others know better.
		h.next()
		return 0, false
	}
	if err == nil && h.misses == 0 {
		h.moveTo(leader)
		return 0, true
	}
	h.misses = max(0, h.misses-1)
	return 0, false
}

// learnEntries follows the entries that the log lists. Those of the settings are
// kept, for a time when all others are gone.
func (h *Host) learnEntries(texts []string) {
	if len(texts) == 0 {
		return
	}
	entries := slices.Clone(h.cfg.Entries)
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err == nil && !slices.Contains(entries, addr) {
			entries = append(entries, addr)
		}
	}
	h.entries = entries
}
