package msgs

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// Verb is the operation that a caller requests.
type Verb uint8

// The verbs. Submit, State and Cancel concern one job; Pending counts the jobs of a
// queue that have not started.
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

// JobRequest is a caller's request that an entry forwards to the leader.
type JobRequest struct {
	_ struct{} `cbor:",toarray"`
	// Seq matches the response to the request. It is unique per connection.
	Seq   uint64
	Verb  Verb
	Queue string
	Job   model.ID
	// Spec is the submitted job. It is set only if Verb is Submit.
	Spec *model.Job
	// Config is the version of the configuration from which the entry chose the queue.
	Config int64
}

// JobResponse is the leader's response to a JobRequest.
type JobResponse struct {
	_ struct{} `cbor:",toarray"`
	// Seq is that of the request.
	Seq  uint64
	Code codes.Code
	// State is the name of the job's state. It is set in a successful response to State.
	State string
	// Pending is the number of the queue's jobs that have not started, or -1 in a
	// successful response to Submit or Cancel.
	Pending int
	// RetryAfter is how long the caller should wait before it tries again. It is set if
	// the request is refused for a temporary reason.
	RetryAfter time.Duration
}
