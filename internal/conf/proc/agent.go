package proc

import (
	"net/netip"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Agent holds the settings of an agent.
type Agent struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
	Region string `json:"region"`
	// Cell is the set of VMs that this VM belongs to; empty means the default cell.
	Cell string `json:"cell"`
	// Peers and Admin are the addresses to listen on.
	Peers netip.AddrPort `json:"peers"`
	Admin netip.AddrPort `json:"admin"`
	// Advertise is the address that entries connect to; empty means Peers.
	Advertise netip.AddrPort `json:"advertise"`
	// Worker is the address of the platform's executor on the VM.
	Worker netip.AddrPort `json:"worker"`
	// Entries are the peer addresses of some entries; these report the others.
	Entries []netip.AddrPort `json:"entries"`
	// CPU, Memory and Accelerators are the VM's capacity for tasks.
	CPU          teams.CPU    `json:"cpu"`
	Memory       jsonc.Memory `json:"memory"`
	Accelerators uint32       `json:"accelerators"`
	// Connections limits the number of connections that entries have open to the
	// agent; 0 means 64.
	Connections int `json:"connections"`
	// DrainTimeout limits how long a shutdown waits for requests in flight.
	DrainTimeout jsonc.Duration `json:"drainTimeout"`
	Limits       Limits         `json:"limits"`
}

const (
	defaultConnections = 64
	maxConnections     = 10_000
	maxCPUs            = 4096
	maxAccelerators    = 1024
)

// ParseAgent reads and checks the settings of an agent.
func ParseAgent(file string, data []byte) (Agent, jsonc.Faults) {
	var cfg Agent
	c := checker{jsonc.Decode(file, data, &cfg)}
	c.name("vm", cfg.VM)
	c.name("zone", cfg.Zone)
	if cfg.Cell != "" {
		c.name("cell", cfg.Cell)
	}
	c.addr("peers", cfg.Peers, true)
	c.addr("admin", cfg.Admin, true)
	c.advertise(cfg.Advertise, cfg.Peers)
	c.addr("worker", cfg.Worker, false)
	if len(cfg.Entries) == 0 {
		c.Add("entries", "want the peer address of at least one entry")
	}
	for _, addr := range cfg.Entries {
		c.addr("entries", addr, false)
	}
	if cfg.CPU <= 0 || cfg.CPU > maxCPUs {
		c.Add("cpu", "want more than 0 and at most %d processors", maxCPUs)
	}
	if cfg.Memory == 0 {
		c.Add("memory", "want more than 0")
	}
	if cfg.Accelerators > maxAccelerators {
		c.Add("accelerators", "want at most %d", maxAccelerators)
	}
	if cfg.Connections < 0 || cfg.Connections > maxConnections {
		c.Add("connections", "want between 1 and %d", maxConnections)
	}
	c.limits(&cfg.Limits)
	c.duration("drainTimeout", cfg.DrainTimeout.Duration, maxDrainTimeout)
	cfg.SetDefaults()
	return cfg, c.Faults()
}

// SetDefaults sets the defaults of settings that are not set.
func (a *Agent) SetDefaults() {
	if a.Cell == "" {
		a.Cell = teams.DefaultCell
	}
	if a.Connections == 0 {
		a.Connections = defaultConnections
	}
	a.DrainTimeout.Duration = a.DrainTimeout.Or(defaultDrainTimeout)
	a.Limits.setBodyMemory()
}

// Capacity returns the VM's capacity for tasks.
func (a *Agent) Capacity() *schema.Size {
	return &schema.Size{CpuMilli: a.CPU.Milli(), MemoryMb: uint32(a.Memory), Accelerators: a.Accelerators}
}
