// Package proc defines the settings that a process reads at startup, in JSON with
// comments, and reports all faults in them at once.
package proc

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
)

// Entry holds the settings of an entry.
type Entry struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Cells are the cells that the entry may lead; empty means the default cell.
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
	// Entries are the peer addresses of other entries. A starting entry copies its
	// state from one of them, which works without the log too.
	Entries []netip.AddrPort `json:"entries"`
	// ZoneDelay is the network delay of a message to another availability zone, one
	// way.
	ZoneDelay jsonc.Duration `json:"zoneDistance"`
	// DrainTimeout limits how long a shutdown waits for requests in flight.
	DrainTimeout jsonc.Duration `json:"drainTimeout"`
	// JobMemory is what the batch jobs that are kept may take.
	JobMemory jsonc.Memory `json:"jobMemory"`
	Limits    Limits       `json:"limits"`
}

// Defaults and limits of settings.
const (
	defaultZoneDelay    = 500 * time.Microsecond
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
	// defaultBatchMemory is the default of Entry.JobMemory, in megabytes.
	defaultBatchMemory = 64
)

// ParseEntry reads and checks the settings of an entry.
func ParseEntry(file string, data []byte) (Entry, jsonc.Faults) {
	var cfg Entry
	c := checker{jsonc.Decode(file, data, &cfg)}
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
	c.duration("drainTimeout", cfg.DrainTimeout.Duration, maxDrainTimeout)
	c.limits(&cfg.Limits)
	c.duration("zoneDistance", cfg.ZoneDelay.Duration, time.Second)
	cfg.SetDefaults()
	return cfg, c.Faults()
}

// SetDefaults sets the defaults of settings that are not set.
func (e *Entry) SetDefaults() {
	if len(e.Cells) == 0 {
		e.Cells = []string{teams.DefaultCell}
	}
	e.ZoneDelay.Duration = e.ZoneDelay.Or(defaultZoneDelay)
	e.DrainTimeout.Duration = e.DrainTimeout.Or(defaultDrainTimeout)
	e.Limits.setBodyMemory()
	if e.JobMemory == 0 {
		e.JobMemory = defaultBatchMemory
	}
}
