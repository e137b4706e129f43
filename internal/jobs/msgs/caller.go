package msgs

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Verb is what a caller asks for.
type Verb uint8

// The verbs.
const (
	Submit Verb = iota + 1
	State
	Cancel
	Pending
)

func (v Verb) String() string {
	names := [...]string{"unknown", "submit", "state", "cancel", "pending"}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// JobRequest is a caller's request that an entry passes on.
type JobRequest struct {
	_ struct{} `cbor:",toarray"`
	// Seq pairs the answer with the request on one connection.
	Seq   uint64
	Verb  Verb
	Queue string
	Job   model.ID
	// Spec is set with Submit.
	Spec *model.Job
	// Config is the version by which the entry chose the queue.
	Config int64
}

// JobResponse answers an Ask.
type JobResponse struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Code codes.Code
	// State is the job's state as callers see it.
	State string
	// Pending is the number of the queue's jobs that have not begun.
	Pending int
	// RetryAfter says when to come back; it goes with refusals.
	RetryAfter time.Duration
}
