package proc

import (
	"net/netip"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Seeds are addresses of some entries, from which a process learns the others. Their
// ports are ignored, because all entries listen for other processes on one known port.
type Seeds []netip.AddrPort

// WithPort returns the addresses with their ports replaced.
func (s Seeds) WithPort(port uint16) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s))
	for _, a := range s {
		list = append(list, netip.AddrPortFrom(a.Addr(), port))
	}
	return list
}

// JobEntry holds the settings of an entry on the users' platform.
type JobEntry struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Callers, Health, Peers and Admin are the addresses to listen on.
	Callers netip.AddrPort `json:"callers"`
	Health  netip.AddrPort `json:"health"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store"`
	Seeds Seeds          `json:"seeds"`
	// Processors is the number of processors that the entry may use, possibly
	// fractional; 0 means unknown. An entry with far more of them than others is
	// preferred as the leader.
	Processors float64 `json:"processors"`
	// Advisor is the address of the advice service. Without it, jobs in queues that
	// need its advice wait.
	Advisor netip.AddrPort `json:"advisor"`
	// RecordBytes and CallBytes are the sizes up to which the store accepts a record and
	// all records of one append; 0 means the store's usual ones.
	RecordBytes int `json:"recordBytes"`
	CallBytes   int `json:"callBytes"`
	// Memory is that of the machine. The default is that of the smallest one.
	Memory jsonc.Memory `json:"memory"`
	// JobMemory is what the jobs that are kept may take.
	JobMemory jsonc.Memory `json:"jobMemory"`
	// MaxRuns is the number of runs that a VM may have at the same time.
	MaxRuns int    `json:"maxRuns"`
	Limits  Limits `json:"limits"`
}

// Memory of the smallest machines for the two kinds of processes, and the default of
// JobEntry.JobMemory, in megabytes.
const (
	defaultEntryMemory = 175
	defaultAgentMemory = 122
	defaultJobMemory   = 48
)

// defaultMaxRuns is the default of JobEntry.MaxRuns, maxMaxRuns its largest value.
const (
	defaultMaxRuns = 1000
	maxMaxRuns     = 1 << 20
)

// StoreLimits returns the sizes up to which the store accepts appends.
func (e *JobEntry) StoreLimits() port.Limits {
	return port.Limits{Record: e.RecordBytes, Call: e.CallBytes}
}

// ParseJobEntry reads and checks the settings of an entry on the users' platform.
func ParseJobEntry(file string, data []byte) (JobEntry, jsonc.Faults) {
	var cfg JobEntry
	c := checker{jsonc.Decode(file, data, &cfg)}
	c.name("name", cfg.Name)
	c.name("zone", cfg.Zone)
	c.addr("callers", cfg.Callers, true)
	c.addr("health", cfg.Health, true)
	c.addr("peers", cfg.Peers, true)
	c.addr("admin", cfg.Admin, true)
	c.addr("store", cfg.Store, false)
	if cfg.Processors < 0 {
		c.Add("processors", "is negative; want the number of processors that the entry may use")
	}
	c.bytes("recordBytes", cfg.RecordBytes)
	c.bytes("callBytes", cfg.CallBytes)
	if cfg.MaxRuns < 0 || cfg.MaxRuns > maxMaxRuns {
		c.Add("maxRuns", "want between 1 and %d", maxMaxRuns)
	}
	c.limits(&cfg.Limits)
	cfg.SetDefaults()
	return cfg, c.Faults()
}

// SetDefaults sets the defaults of settings that are not set.
func (e *JobEntry) SetDefaults() {
	if e.Memory == 0 {
		e.Memory = defaultEntryMemory
	}
	if e.JobMemory == 0 {
		e.JobMemory = defaultJobMemory
	}
	if e.MaxRuns == 0 {
		e.MaxRuns = defaultMaxRuns
	}
}

// JobAgent holds the settings of an agent on the users' platform.
type JobAgent struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Registry is the address to listen on for the worker's heartbeats, Admin the one
	// for monitoring.
	Registry netip.AddrPort `json:"registry"`
	Admin    netip.AddrPort `json:"admin"`
	// Worker is the address of the worker on this VM.
	Worker netip.AddrPort `json:"worker"`
	// PeerPort is the port on which entries listen for other processes.
	PeerPort uint16 `json:"peerPort"`
	Seeds    Seeds  `json:"seeds"`
	// Store is the address of the platform's store, from which the agent reads the
	// addresses of all entries if none that it knows responds.
	Store netip.AddrPort `json:"store"`
	// Memory is that of the machine. The default is that of the smallest one.
	Memory jsonc.Memory `json:"memory"`
	Limits Limits       `json:"limits"`
}

// ParseJobAgent reads and checks the settings of an agent on the users' platform.
func ParseJobAgent(file string, data []byte) (JobAgent, jsonc.Faults) {
	var cfg JobAgent
	c := checker{jsonc.Decode(file, data, &cfg)}
	c.name("name", cfg.Name)
	c.name("zone", cfg.Zone)
	c.addr("registry", cfg.Registry, true)
	c.addr("admin", cfg.Admin, true)
	c.addr("worker", cfg.Worker, false)
	c.addr("store", cfg.Store, false)
	if cfg.PeerPort == 0 {
		c.Add("peerPort", "is missing; want the port on which entries listen")
	}
	c.limits(&cfg.Limits)
	if cfg.Memory == 0 {
		cfg.Memory = defaultAgentMemory
	}
	return cfg, c.Faults()
}
