package exec

import (
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// PollRetryDelay is the delay before the next poll after one has failed.
const PollRetryDelay = 60 * time.Millisecond

// PollPause decides how long to wait before the next poll of the worker. The zero value is
// ready for use.
type PollPause struct {
	// newConnectionAt is when a poll last failed for want of its connection and the next one
	// followed at once.
	newConnectionAt time.Time
}

// After returns the wait after a poll with the given result. A poll without its connection
// is repeated at once over a new one, except if that was done just before: the connections
// of a worker that is about to exit may end as soon as they are opened.
func (p *PollPause) After(now time.Time, err error) time.Duration {
	switch {
	case errors.Is(err, port.ErrNewConnection) && now.Sub(p.newConnectionAt) > PollRetryDelay:
		p.newConnectionAt = now
		return 0
	case err != nil:
		return PollRetryDelay
	}
	return 0
}
