package proc

import (
	"cmp"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
)

// Limits holds the settings that bound what clients hold of a process. A field that is 0 stands
// for its default.
type Limits struct {
	// Connections and Requests bound those of callers, or of the worker at an agent on the users'
	// platform.
	Connections int `json:"connections"`
	Requests    int `json:"requests"`
	// PeerConnections bounds the connections of other processes, AdminConnections those to each
	// address for monitoring.
	PeerConnections  int `json:"peerConnections"`
	AdminConnections int `json:"adminConnections"`
	// BodyMemory is what the bodies of one address's requests together may take.
	BodyMemory jsonc.Memory `json:"bodyMemory"`
	// BodyTimeout is how long a body may take to arrive.
	BodyTimeout jsonc.Duration `json:"bodyTimeout"`
}

// Defaults and limits of Limits.
const (
	defaultPeerConnections  = 1024
	defaultAdminConnections = 128
	maxIntakeConnections    = 1 << 20
	maxBodyMemory           = 1 << 20 // megabytes
	// defaultCallMemory is the default of BodyMemory where bodies are those of calls to services,
	// in megabytes.
	defaultCallMemory = 64
)

// limits checks settings of the type Limits.
func (c checker) limits(l *Limits) {
	for _, f := range []struct {
		name string
		n    int
	}{
		{"limits.connections", l.Connections},
		{"limits.requests", l.Requests},
		{"limits.peerConnections", l.PeerConnections},
		{"limits.adminConnections", l.AdminConnections},
	} {
		if f.n < 0 || f.n > maxIntakeConnections {
			c.Add(f.name, "want between 1 and %d", maxIntakeConnections)
		}
	}
	if l.BodyMemory > maxBodyMemory {
		c.Add("limits.bodyMemory", "want at most %dMB", maxBodyMemory)
	}
	c.duration("limits.bodyTimeout", l.BodyTimeout.Duration, maxDrainTimeout)
}

// setBodyMemory sets the default of BodyMemory for the product's own interface.
func (l *Limits) setBodyMemory() {
	if l.BodyMemory == 0 {
		l.BodyMemory = defaultCallMemory
	}
}

// Callers returns the limits of the address for callers, or for the worker.
func (l *Limits) Callers() intake.Limits {
	return intake.Limits{
		Connections: cmp.Or(l.Connections, intake.DefaultConnections), Requests: l.Requests, Memory: int64(l.BodyMemory) << 20, BodyTimeout: l.BodyTimeout.Duration,
	}
}

// Peers returns the limits of the address for other processes.
func (l *Limits) Peers() intake.Limits {
	peers := l.Callers()
	peers.Connections = cmp.Or(l.PeerConnections, defaultPeerConnections)
	return peers
}

// adminRequestDivisor is the divisor by which the connections for monitoring give the requests that
// are carried out at the same time: each may show the state of the whole process.
const adminRequestDivisor = 8

// Admin returns the limits of an address for monitoring.
func (l *Limits) Admin() intake.Limits {
	admin := l.Callers()
	admin.Connections = cmp.Or(l.AdminConnections, defaultAdminConnections)
	admin.Requests = max(1, admin.Connections/adminRequestDivisor)
	return admin
}
