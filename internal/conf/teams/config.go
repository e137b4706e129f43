// Package teams defines the configuration that operators publish for each team:
// its quota, services and kinds of batch work.
//
// Parse reports all faults of a configuration at once. The result depends neither
// on time nor on the iteration order of maps, so that all processes accept or
// reject the same configurations.
package teams

import (
	"math"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Config is the configuration of one team.
type Config struct {
	// Cell is the set of VMs that the team's work runs on; empty means "main".
	Cell  string `json:"cell"`
	Quota Quota  `json:"quota"`
	// Weight is the team's weight in the division of the capacity that remains
	// after all guarantees; 0 means 1.
	Weight   uint32             `json:"weight"`
	Services map[string]Service `json:"services"`
	Batch    map[string]Kind    `json:"batch"`
	Retry    Retry              `json:"retry"`
}

// DefaultCell is the cell of a team whose configuration names none.
const DefaultCell = "main"

// CellName returns the team's cell, or DefaultCell if none is set.
func (c *Config) CellName() string {
	if c.Cell == "" {
		return DefaultCell
	}
	return c.Cell
}

// Quota limits the resources that a team's batch tasks hold at the same time. A field
// that is 0 sets no limit.
type Quota struct {
	CPU          CPU          `json:"cpu"`
	Memory       jsonc.Memory `json:"memory"`
	Accelerators uint32       `json:"accelerators"`
	// WaitingTasks limits the number of tasks that are accepted and have not ended.
	WaitingTasks uint32 `json:"waitingTasks"`
}

// Size converts the quota's resources to a schema.Size.
func (q Quota) Size() *schema.Size {
	return &schema.Size{CpuMilli: q.CPU.Milli(), MemoryMb: uint32(q.Memory), Accelerators: q.Accelerators}
}

// CPU is a number of processors, possibly fractional.
type CPU float64

// Milli returns c in thousandths of a processor.
func (c CPU) Milli() uint32 { return uint32(math.Round(float64(c) * 1000)) }

// Retry limits the additional load that retries and hedges cause.
type Retry struct {
	// Percent is the limit as a percentage of the requests sent; 0 means 10.
	Percent uint32 `json:"percent"`
	// Disabled turns off retries.
	Disabled bool `json:"disabled"`
}

// defaultRetryPercent is the value of Retry.Percent if it is 0.
const defaultRetryPercent = 10

// Share returns the limit as a fraction of the requests sent, 0 if retries are disabled.
func (r Retry) Share() float64 {
	if r.Disabled {
		return 0
	}
	if r.Percent == 0 {
		return defaultRetryPercent / 100.0
	}
	return float64(r.Percent) / 100
}
