package port

import (
	"context"
	"time"
)

// Advice says which VMs may run a step, with a ticket for each.
type Advice struct {
	Tickets map[string]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// Advisor knows which VMs may run the steps of advised queues. It answers one call at a
// time, and the later the more VMs are named.
type Advisor interface {
	// Advise asks for a step, which a task's name without its index names.
	Advise(ctx context.Context, step string, vms []string) (Advice, error)
}
