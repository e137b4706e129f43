package msgs

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Hello is the first message on a connection. Its sender is the process that opened
// the connection.
type Hello struct {
	_ struct{} `cbor:",toarray"`
	// Node is the sender's name.
	Node string
	// Entry is set if the sender is an entry and not an agent.
	Entry bool
	// Addr is the address at which an entry accepts connections.
	Addr netip.AddrPort
	// Epoch is the highest epoch that the sender knows of.
	Epoch uint64
	// Leading is set if the sender is the leader of that epoch.
	Leading bool
	// LeaderLost is set if the sender looks for a leader because it is not connected
	// to one.
	LeaderLost bool
	// Processors is the number of processors of an entry. It may be a fraction, and is 0
	// if unknown.
	Processors float64
}

// Welcome is an entry's response to Hello.
type Welcome struct {
	_ struct{} `cbor:",toarray"`
	// Node is the entry's name.
	Node string
	// Leading is set if the entry is the leader. Only then does the connection stay
	// open.
	Leading bool
	// Epoch is the highest epoch that the entry knows of, and Leader the address of its
	// leader.
	Epoch  uint64
	Leader netip.AddrPort
	// Entries holds the addresses of all entries known.
	Entries []netip.AddrPort
	// LeaderHeard is the time since the entry last received a message from the leader,
	// negative if it never did.
	LeaderHeard time.Duration
	// Processors is as in Hello.
	Processors float64
}

// Ping is the leader's periodic heartbeat to the other entries. They respond with a Ping
// in which only Epoch and Leaving are set.
type Ping struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	// Agents is the number of agents that are connected to the leader.
	Agents int
	// StoreWait is how long the leader has been waiting for the store to confirm an
	// append, 0 if none is pending.
	StoreWait time.Duration
	// Entries holds the addresses of all entries known, if there are more than in the ping
	// before.
	Entries []netip.AddrPort
	// Config is set if the configuration changed since the last ping.
	Config *model.Config
	// Leaving is set if the sender is about to stop.
	Leaving bool
	// Yield is set if the receiver should take over: it has more processors, or the most of
	// all entries when the leader leaves.
	Yield bool
}
