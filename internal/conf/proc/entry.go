// Package proc holds the settings that a process reads when it starts, in JSON
// with comments, and checks them as a whole.
package proc

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
)

// Entry is the settings of an entry.
type Entry struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Cells are those that the entry may lead; empty means the default cell.
	Cells []string `json:"cells"`
	// Callers, Peers and Admin are the addresses to listen on.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
	// Advertise is the address that agents and other entries connect to; empty
	// means Peers.
	Advertise netip.AddrPort `json:"advertise"`
	// Log is the address of the platform's log.
	Log netip.AddrPort `json:"log"`
	// Entries are the peer addresses of other entries, for a start without the log.
	Entries []netip.AddrPort `json:"entries"`
	// ZoneDelay is how long a message to another availability zone takes.
	ZoneDelay jsonc.Duration `json:"zoneDistance"`
	// DrainTimeout bounds the wait for requests in flight at shutdown.
	DrainTimeout jsonc.Duration `json:"drainTimeout"`
}

// Defaults of settings.
const (
	defaultZoneDistance = 500 * time.Microsecond
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
)

// ParseEntry reads and checks the settings of an entry.
func ParseEntry(file string, data []byte) (Entry, jsonc.Faults) {
	var cfg Entry
	c := check{jsonc.Decode(file, data, &cfg)}
	c.name("name", cfg.Name)
	c.name("zone", cfg.Zone)
	for _, cell := range cfg.Cells {
		c.name("cells", cell)
	}
	c.addr("callers", cfg.Callers, true)
	c.addr("peers", cfg.Peers, true)
	c.addr("admin", cfg.Admin, true)
	c.advertise(cfg.Advertise, cfg.Peers)
	c.addr("log", cfg.Log, false)
	for _, addr := range cfg.Entries {
		c.addr("entries", addr, false)
	}
	c.within("drainTimeout", cfg.DrainTimeout.Duration, maxDrainTimeout)
	c.within("zoneDistance", cfg.ZoneDelay.Duration, time.Second)
	cfg.SetDefaults()
	return cfg, c.Faults()
}

// SetDefaults sets defaults for what is not set.
func (e *Entry) SetDefaults() {
	if len(e.Cells) == 0 {
		e.Cells = []string{teams.DefaultCell}
	}
	e.ZoneDelay.Duration = e.ZoneDelay.Or(defaultZoneDistance)
	e.DrainTimeout.Duration = e.DrainTimeout.Or(defaultDrainTimeout)
}
