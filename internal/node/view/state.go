package view

import (
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/sched/leader"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
)

// Entry is the state of an entry as the administrative endpoint shows it.
type Entry struct {
	Role       string `json:"role"`
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Writer     string `json:"writer"`
	Leaving    bool   `json:"leaving"`
	InFlight   int64  `json:"requestsInFlight"`
	LogDown    bool   `json:"logDown"`
	NextOffset uint64 `json:"nextOffset"`
	// LogAge is how old what the entry knows of the log may be, as a Go duration.
	LogAge   string       `json:"logAge"`
	Pending  int          `json:"recordsPending"`
	Fold     fold.Stats   `json:"fold"`
	Appends  writer.Stats `json:"appends"`
	Config   []Revision   `json:"config"`
	Cells    []Cell       `json:"cells"`
	Entries  []Peer       `json:"entries"`
	VMs      []VM         `json:"vms"`
	Services []Service    `json:"services"`
	// Discarded is how often connections to peers were discarded because they may no
	// longer work.
	Discarded int `json:"discardedConnections"`
}

// Revision is the latest revision of a team's configuration.
type Revision struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	// Age is the time since the revision was accepted, as a Go duration.
	Age     string `json:"age"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Cell is the state of a cell and of its leadership.
type Cell struct {
	Cell string `json:"cell"`
	Term uint64 `json:"term"`
	// Leader is the writer id of the cell's leader.
	Leader string `json:"leader"`
	// Leads says whether this entry is the leader.
	Leads bool `json:"leads"`
	// Waiting is the number of tasks that wait for placement.
	Waiting int          `json:"waitingTasks"`
	Stats   leader.Stats `json:"stats"`
}

// Peer is an entry as the log lists it, this one included.
type Peer struct {
	Writer string `json:"writer"`
	Name   string `json:"name"`
	Peer   string `json:"peer"`
}

// VM is a VM as this entry knows it.
type VM struct {
	VM       string `json:"vm"`
	Cell     string `json:"cell"`
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Leaving  bool   `json:"leaving"`
	Replicas int    `json:"replicas"`
	Attempts int    `json:"attempts"`
}

// Service is a service to which this entry routes requests.
type Service struct {
	// Service is the name, as "team/service".
	Service string `json:"service"`
	// Mean is the mean service time, as a Go duration.
	Mean      string     `json:"meanServiceTime"`
	Tries     flow.Stats `json:"tries"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is an upstream as this entry knows it.
type Upstream struct {
	VM string `json:"vm"`
	// InFlight is the number of this entry's requests in flight at the upstream.
	InFlight int `json:"inFlight"`
	// Slowness is the measured service time as a multiple of the average over all
	// upstreams, 0 if none was measured.
	Slowness float64 `json:"slowness"`
	// Ejected says whether the upstream is ejected. It then gets only probes, unless
	// no other upstream is left.
	Ejected bool `json:"ejected"`
}
