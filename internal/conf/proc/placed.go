package proc

import (
	"net/netip"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
)

// Seeds are addresses on VMs of some entries. Only their IP addresses count: all
// entries listen for other processes at the same port.
type Seeds []netip.AddrPort

// WithPort returns the addresses with another port.
func (s Seeds) WithPort(port uint16) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s))
	for _, a := range s {
		list = append(list, netip.AddrPortFrom(a.Addr(), port))
	}
	return list
}

// JobEntry is the settings of an entry on the users' platform.
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
	// Processors is how much of a processor the entry has; 0 is unknown. Entries with
	// much more lead before others.
	Processors float64 `json:"processors"`
	// Advisor is the address of the advice service; without it advised queues wait.
	Advisor netip.AddrPort `json:"advisor"`
}

// ParseJobEntry reads and checks the settings of an entry on the users' platform.
func ParseJobEntry(file string, data []byte) (JobEntry, jsonc.Faults) {
	var cfg JobEntry
	c := check{jsonc.Decode(file, data, &cfg)}
	c.name("name", cfg.Name)
	c.name("zone", cfg.Zone)
	c.addr("callers", cfg.Callers, true)
	c.addr("health", cfg.Health, true)
	c.addr("peers", cfg.Peers, true)
	c.addr("admin", cfg.Admin, true)
	c.addr("store", cfg.Store, false)
	if cfg.Processors < 0 {
		c.Add("processors", "is below 0; want the part of a processor that the entry has")
	}
	return cfg, c.Faults()
}

// JobAgent is the settings of an agent on the users' platform.
type JobAgent struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Registry is where the worker announces itself, Admin is for monitoring.
	Registry netip.AddrPort `json:"registry"`
	Admin    netip.AddrPort `json:"admin"`
	// Worker is the address of the worker on this VM.
	Worker netip.AddrPort `json:"worker"`
	// PeerPort is the port at which entries listen for other processes.
	PeerPort uint16 `json:"peerPort"`
	Seeds    Seeds  `json:"seeds"`
	// Store is the address of the platform's store, which knows the leader when no
	// seed answers.
	Store netip.AddrPort `json:"store"`
}

// ParseJobAgent reads and checks the settings of an agent on the users' platform.
func ParseJobAgent(file string, data []byte) (JobAgent, jsonc.Faults) {
	var cfg JobAgent
	c := check{jsonc.Decode(file, data, &cfg)}
	c.name("name", cfg.Name)
	c.name("zone", cfg.Zone)
	c.addr("registry", cfg.Registry, true)
	c.addr("admin", cfg.Admin, true)
	c.addr("worker", cfg.Worker, false)
	c.addr("store", cfg.Store, false)
	if cfg.PeerPort == 0 {
		c.Add("peerPort", "is missing; want the port at which entries listen")
	}
	return cfg, c.Faults()
}
