package view

import (
	"github.com/ebonyarch/ebonyarch/internal/front/flow"
	"github.com/ebonyarch/ebonyarch/internal/sched/leader"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
)

// Entry is the dump of an entry.
type Entry struct {
	Role       string       `json:"role"`
	Name       string       `json:"name"`
	Zone       string       `json:"zone"`
	Writer     string       `json:"writer"`
	Leaving    bool         `json:"leaving"`
	InFlight   int64        `json:"requestsInFlight"`
	LogDown    bool         `json:"logDown"`
	NextOffset uint64       `json:"nextOffset"`
	Pending    int          `json:"recordsPending"`
	Fold       fold.Stats   `json:"fold"`
	Appends    writer.Stats `json:"appends"`
	Config     []Revision   `json:"config"`
	Cells      []Cell       `json:"cells"`
	Entries    []Peer       `json:"entries"`
	VMs        []VM         `json:"vms"`
	Services   []Service    `json:"services"`
	// Discarded counts connections that were given up.
	Discarded int `json:"discardedConnections"`
}

// Revision is the revision in force for a team.
type Revision struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	Age      string `json:"age"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Cell is the leadership of a cell.
type Cell struct {
	Cell    string       `json:"cell"`
	Term    uint64       `json:"term"`
	Leader  string       `json:"leader"`
	Leads   bool         `json:"leads"`
	Waiting int          `json:"waitingTasks"`
	Stats   leader.Stats `json:"stats"`
}

// Peer is another entry as the log has it.
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

// Service is a service as this entry routes to it.
type Service struct {
	Service   string     `json:"service"`
	Mean      string     `json:"meanServiceTime"`
	Tries     flow.Stats `json:"tries"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one upstream as this entry sees it.
type Upstream struct {
	VM       string  `json:"vm"`
	InFlight int     `json:"inFlight"`
	Slowness float64 `json:"slowness"`
	Ejected  bool    `json:"ejected"`
}
