package msgs

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Hello opens a connection.
type Hello struct {
	_    struct{} `cbor:",toarray"`
	Node string
	// Entry is set if an entry calls, not an agent.
	Entry bool
	// Addr is where other processes reach the caller, if it is an entry.
	Addr netip.AddrPort
	// Epoch is the highest leadership that the caller knows of.
	Epoch uint64
	// Leading is set if the caller leads in that epoch.
	Leading bool
	// LeaderLost is set if the caller looks for a leader because it lost its own.
	LeaderLost bool
	// Processors is how much of a processor the caller has, 0 if it is unknown.
	Processors float64
}

// Welcome answers Hello.
type Welcome struct {
	_    struct{} `cbor:",toarray"`
	Node string
	// Leading is set if the answering entry leads; the connection is then kept.
	Leading bool
	// Epoch and Leader are the latest leadership that the entry knows of.
	Epoch  uint64
	Leader netip.AddrPort
	// Entries are the addresses of all entries known.
	Entries []netip.AddrPort
	// LeaderHeard is how long ago the entry heard from the leader; negative is never.
	LeaderHeard time.Duration
	// Processors is how much of a processor the entry has, 0 if it is unknown.
	Processors float64
}

// Ping is the leader's sign of life to entries.
type Ping struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	// Agents is how many agents the leader hears.
	Agents int
	// StoreWait is how long the leader waits for the store's answer, 0 if it does not.
	StoreWait time.Duration
	Entries   []netip.AddrPort
	// Config is present when it changed since the last ping.
	Config *model.Config
	// Leaving is set when the leader is about to stop.
	Leaving bool
	// Yield is set if the receiver should lead in its place, having more processors.
	Yield bool
}
