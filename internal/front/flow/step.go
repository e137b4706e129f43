package flow

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/route"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Action is what the caller of a Flow has to do next.
type Action uint8

// The actions.
const (
	// Wait means that nothing is to be done until a pending operation ends.
	Wait Action = iota
	// Send means that the request is to be sent to Upstream. A call of Replied or
	// Failed must follow.
	Send
	// Revoke means that the request is to be revoked at Upstream. A call of Revoked
	// must follow.
	Revoke
	// Done means that the request is finished: Reply is the reply, or Err says why
	// there is none.
	Done
)

// Step is an action with its arguments.
type Step struct {
	Action Action
	// Try is the index of the try to Send or Revoke. It is the argument i of Replied,
	// Failed and Revoked.
	Try      int
	Upstream *route.Upstream
	// Timeout is the time that the upstream has for a Send.
	Timeout time.Duration
	// HedgeAfter is the time after a Send without a reply at which Hedge should be
	// called; 0 means never.
	HedgeAfter time.Duration
	Reply      *schema.ForwardReply
	Err        error
}
