package port

import (
	"context"
	"time"
)

// Advice says which VMs may run a step.
type Advice struct {
	// Tickets holds the ticket for each VM that may run the step, by the VM's id.
	Tickets map[string]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// Advisor is the advice service, which decides which VMs may run the steps of queues
// that need advice. It serves one call at a time, and a call takes longer the more VMs
// it names.
type Advisor interface {
	// Advise returns which of the VMs may run a step. The name of the step is a task's
	// name without the index.
	Advise(ctx context.Context, step string, vms []string) (Advice, error)
}
