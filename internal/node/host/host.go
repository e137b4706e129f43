// Package host implements the deterministic part of an agent: it decides which
// entry the heartbeats go to, what runs on the VM, and which requests get a slot.
//
// Each event is passed in together with its time. Nothing in the package waits or
// sends anything, so that tests can run an agent in virtual time.
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

// maxListAge is the age of the worker's latest list of attempts above which the VM
// sends no more heartbeats, so that its lease ends.
const maxListAge = 3 * time.Second

// Config describes a VM.
type Config struct {
	// Member is the VM as it is announced, without the fields that change at run
	// time.
	Member *schema.Member
	// Entries are the entries known at the start; there is at least one.
	Entries []netip.AddrPort
}

// Host is the deterministic part of an agent. Create it with New. It is not safe
// for concurrent use.
type Host struct {
	cfg Config
	// Runner decides which attempts run on the VM.
	Runner *runner.Runner
	// once holds the ids of non-idempotent requests, so that none runs twice.
	once *once.Table
	// gates holds the slots and queue of each service, keyed by "team/service".
	gates map[string]*gate.Gate
	// guard decides which batch attempts are throttled or evicted to protect services.
	guard guard.Guard
	// member is the VM as it was last announced; its version grows with each change.
	member *schema.Member
	// knownVersion is the version of member that the entry has in full, 0 for none.
	knownVersion uint64
	// announcedVersion is the version of member in the latest heartbeat.
	announcedVersion uint64
	// entriesHash is the hash of the latest list of entries, as an entry sent it.
	entriesHash uint64
	// entry is the entry that the heartbeats go to, and entries are all known ones.
	entry   netip.AddrPort
	entries []netip.AddrPort
	// failedHeartbeats counts failed heartbeats. A reply of the leader resets it to 0, and
	// a reply of another entry decrements it if it is positive. While it is positive, the
	// host does not switch to the leader that an entry names, because that may be the
	// entry that failed.
	failedHeartbeats int
	leaving          bool
	// configVersion is the version of the configuration in the leader's latest
	// reply, which came at repliedAt.
	configVersion uint64
	repliedAt     time.Time
	// listedAt is when the worker last listed its attempts.
	listedAt time.Time
	// running is the number of requests that hold a slot and have started.
	running int
}

// New returns the host of an agent that starts at now.
func New(now time.Time, cfg Config) *Host {
	cfg.Member.Incarnation = now.UnixNano()
	return &Host{
		cfg: cfg, Runner: runner.New(cfg.Member.GetCapacity()), once: once.New(now),
		gates: map[string]*gate.Gate{}, entries: cfg.Entries, entry: cfg.Entries[0], listedAt: now,
	}
}

// Leave makes the VM accept no more work and evict its batch attempts, and its replicas
// once no request is left.
func (h *Host) Leave() {
	h.leaving = true
	h.Runner.Leave()
}

// Leaving reports whether Leave was called.
func (h *Host) Leaving() bool { return h.leaving }

// Drained reports whether the VM is leaving, has announced it and has no work left
// to finish.
func (h *Host) Drained() bool {
	return h.leaving && h.Runner.Idle() && h.running == 0 && h.member.GetLeaving()
}

// Entry returns the address of the entry that the heartbeats go to.
func (h *Host) Entry() netip.AddrPort { return h.entry }

// LastLeaderReply returns the time of the leader's latest reply and the version of
// the configuration in it.
func (h *Host) LastLeaderReply() (time.Time, uint64) { return h.repliedAt, h.configVersion }

// Listed handles the worker's list of its attempts.
func (h *Host) Listed(now time.Time, tasks []*schema.WorkerTask) {
	h.listedAt = now
	h.Runner.Listed(now, tasks)
	h.updateGates()
	if h.leaving && h.running+h.Queued() == 0 {
		h.Runner.StopReplicas()
	}
}

// NextHeartbeat returns the next heartbeat and the entry that it goes to. It
// returns nil if the worker has not listed its attempts within maxListAge; the VM
// then counts as gone after a while.
func (h *Host) NextHeartbeat(now time.Time) (*schema.BeatRequest, netip.AddrPort) {
	if now.Sub(h.listedAt) > maxListAge {
		return nil, h.entry
	}
	m := proto.Clone(h.cfg.Member).(*schema.Member)
	m.Version, m.Leaving, m.Replicas = h.member.GetVersion(), h.leaving, h.Runner.Replicas()
	if !proto.Equal(m, h.member) {
		m.Version++
		h.member = m
	}
	req := &schema.BeatRequest{Member: h.member, ConfigVersion: h.configVersion, EntriesHash: h.entriesHash}
	if h.knownVersion == h.member.GetVersion() {
		req.Brief = true
		req.Member = &schema.Member{
			Vm: h.member.GetVm(), Cell: h.member.GetCell(), Incarnation: h.member.GetIncarnation(),
			Version: h.member.GetVersion(),
		}
	}
	h.announcedVersion = h.member.GetVersion()
	h.Runner.Fill(req)
	return req, h.entry
}

// allFailedDelay is the delay before the next heartbeat once as many in a row have failed
// as there are entries. Failures may come at once, as those of refused connections do.
const allFailedDelay = 200 * time.Millisecond

// HeartbeatFailed handles a heartbeat to which an entry did not reply. The next one
// goes to another entry, after the delay that HeartbeatFailed returns.
func (h *Host) HeartbeatFailed(failed netip.AddrPort) time.Duration {
	if failed != h.entry {
		return 0
	}
	h.failedHeartbeats++
	h.useNextEntry()
	if h.failedHeartbeats < len(h.entries) {
		return 0
	}
	return allFailedDelay
}

// Poked handles a leader's request for a heartbeat. If the leader's term is higher
// than the highest term seen, the heartbeats go to that leader from now on.
func (h *Host) Poked(req *schema.PokeRequest) {
	leader, err := netip.ParseAddrPort(req.GetLeader())
	if err == nil && req.GetTerm() > h.Runner.Term() {
		h.switchTo(leader)
	}
}

// useNextEntry switches to the next of the known entries.
func (h *Host) useNextEntry() {
	i := slices.Index(h.entries, h.entry)
	h.switchTo(h.entries[(i+1)%len(h.entries)])
}

// switchTo sends the heartbeats to another entry from now on. The member gets a new
// version, so that it takes precedence over the former entry's report that the VM is
// gone.
func (h *Host) switchTo(entry netip.AddrPort) {
	if entry == h.entry {
		return
	}
	h.entry, h.knownVersion = entry, 0
	if h.member != nil {
		m := proto.Clone(h.member).(*schema.Member)
		m.Version++
		h.member = m
	}
}

// Replied handles the reply to a heartbeat that was sent at sentAt. It returns the
// remaining time of the lease for the worker, 0 if the reply renewed none. sendNow
// is set if the next heartbeat should follow at once, because it goes to another
// entry or the entry needs the whole member.
func (h *Host) Replied(now, sentAt time.Time, reply *schema.BeatReply) (lease time.Duration, sendNow bool) {
	h.Runner.Replied(sentAt, reply)
	h.updateEntries(reply.GetEntries())
	h.entriesHash = reply.GetEntriesHash()
	h.knownVersion = h.announcedVersion
	if reply.GetWantWhole() {
		h.knownVersion = 0
		return 0, true
	}
	if reply.GetLeader() {
		h.failedHeartbeats = 0
		h.configVersion, h.repliedAt = reply.GetConfigVersion(), now
		return h.Runner.Lease(now), false
	}
	leader, err := netip.ParseAddrPort(reply.GetLeaderAddr())
	if err == nil && leader == h.entry {
		// The entry was the leader before and knows of no later one. It may be unable
		// to read the log, so another entry may know the leader.
		h.useNextEntry()
		return 0, false
	}
	if err == nil && h.failedHeartbeats == 0 {
		h.switchTo(leader)
		return 0, true
	}
	h.failedHeartbeats = max(0, h.failedHeartbeats-1)
	return 0, false
}

// updateEntries replaces the known entries by those that the log lists. The entries
// of the settings are kept in addition, in case all others are gone.
func (h *Host) updateEntries(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	entries := slices.Clone(h.cfg.Entries)
	for _, text := range addrs {
		addr, err := netip.ParseAddrPort(text)
		if err == nil && !slices.Contains(entries, addr) {
			entries = append(entries, addr)
		}
	}
	h.entries = entries
}
