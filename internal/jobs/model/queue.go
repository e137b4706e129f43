package model

import "time"

// Queue is a queue's part of the operator's configuration.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Host and Prefix select the queue for a caller's request.
	Host, Prefix string
	// Service names the pool of VMs that runs the queue's tasks.
	Service string
	// Priority 0 comes first and may preempt the others.
	Priority int
	// MaxAttempts is how often a task may fail; 0 is no bound.
	MaxAttempts int
	// Stretch times the critical path, plus TargetLatency, is the objective.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout bounds a caller's request.
	Timeout time.Duration
	// Advised queues need the advice service's consent for each VM.
	Advised bool
}
