package model

import "time"

// Queue is the configuration of one queue.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Host and Prefix, of the URL path, select the queue for a caller's request.
	Host, Prefix string
	// Service is the name of the pool of VMs that runs the queue's tasks.
	Service string
	// Priority 0 is the highest and may preempt the others.
	Priority int
	// MaxAttempts is the number of failures of one task at which its job fails; 0
	// means unlimited.
	MaxAttempts int
	// A job's completion time objective is Stretch times the run time of its critical
	// path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout is the maximum duration of a caller's request; 0 means that the queue
	// sets no limit.
	Timeout time.Duration
	// Advised is set if the queue's tasks may run only on VMs for which the advisor
	// issued a ticket.
	Advised bool
}
