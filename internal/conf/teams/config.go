// Package teams holds the configuration that operators publish: one subtree
// for each team, with its quota, services and kinds of batch work.
//
// Check finds every fault of a subtree at once. Nothing here depends on time
// or on the order of a map, so that all processes judge a subtree alike.
package teams

import (
	"math"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Config is one team's subtree.
type Config struct {
	// Cell is the set of VMs that the team's work runs on; empty means "main".
	Cell  string `json:"cell"`
	Quota Quota  `json:"quota"`
	// Weight shares what is left after all guarantees; 0 counts as 1.
	Weight   uint32             `json:"weight"`
	Services map[string]Service `json:"services"`
	Batch    map[string]Kind    `json:"batch"`
	Retry    Retry              `json:"retry"`
}

// DefaultCell is the cell of a team that names none.
const DefaultCell = "main"

// CellName returns the team's cell.
func (c *Config) CellName() string {
	if c.Cell == "" {
		return DefaultCell
	}
	return c.Cell
}

// Quota bounds what a team's batch tasks hold at one time. Zero means none.
type Quota struct {
	CPU          CPU          `json:"cpu"`
	Memory       jsonc.Memory `json:"memory"`
	Accelerators uint32       `json:"accelerators"`
	// WaitingTasks bounds the tasks that are accepted and have not ended.
	WaitingTasks uint32 `json:"waitingTasks"`
}

// Size returns the quota as an amount of resources.
func (q Quota) Size() *schema.Size {
	return &schema.Size{CpuMilli: q.CPU.Milli(), MemoryMb: uint32(q.Memory), Accelerators: q.Accelerators}
}

// CPU is a number of processors, such as 0.5.
type CPU float64

// Milli returns c in thousandths of a processor.
func (c CPU) Milli() uint32 { return uint32(math.Round(float64(c) * 1000)) }

// Retry bounds the load that retries and hedges add.
type Retry struct {
	// Percent of the requests sent; 0 means 10.
	Percent uint32 `json:"percent"`
	// Disabled turns retries off.
	Disabled bool `json:"disabled"`
}

const defaultRetryPercent = 10

// Share returns the retry budget as a fraction of requests.
func (r Retry) Share() float64 {
	if r.Disabled {
		return 0
	}
	if r.Percent == 0 {
		return defaultRetryPercent / 100.0
	}
	return float64(r.Percent) / 100
}
