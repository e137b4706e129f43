package teams

import (
	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Kind is one kind of batch work.
type Kind struct {
	CPU          CPU          `json:"cpu"`
	Memory       jsonc.Memory `json:"memory"`
	Accelerators uint32       `json:"accelerators"`
	// MaxFailures is the number of failed attempts after which a task is parked;
	// 0 means 3.
	MaxFailures uint32 `json:"maxFailures"`
	// Urgent says that tasks of this kind start before others, and that attempts of
	// others are evicted for them if necessary.
	Urgent bool `json:"urgent"`
	// Work is the expected run time of one task.
	Work jsonc.Duration `json:"work"`
}

// defaultMaxFailures is the value of Kind.MaxFailures if it is 0.
const defaultMaxFailures = 3

// Size returns the resources that one task requires.
func (k *Kind) Size() *schema.Size {
	return &schema.Size{CpuMilli: k.CPU.Milli(), MemoryMb: uint32(k.Memory), Accelerators: k.Accelerators}
}

// FailureLimit returns the number of failed attempts after which a task is parked.
func (k *Kind) FailureLimit() uint32 {
	if k.MaxFailures == 0 {
		return defaultMaxFailures
	}
	return k.MaxFailures
}
