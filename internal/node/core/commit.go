package core

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// CommitTimeout is the time within which a record must be read back from the log.
	// After that it is withdrawn if it was not appended yet.
	CommitTimeout = 5 * time.Second
	// withdrawTimeout is the additional time after which a record that could not be
	// withdrawn gets the result codes.FateUnknown.
	withdrawTimeout = 2 * time.Second
	// logRetryAfter is the retry delay suggested to callers while the log does not
	// respond.
	logRetryAfter = 5 * time.Second
)

// CommitResult is the result of a record that Commit queued.
type CommitResult struct {
	// ID is the record's id, as Commit returned it.
	ID uint64
	// Revision is the team's revision after a configuration change, or the current
	// revision if the change was refused.
	Revision uint64
	// Err is nil if the record is in the log and was accepted.
	Err error
}

// pendingCommit is a record that Commit queued and that has no result yet.
type pendingCommit struct {
	id       uint64
	deadline time.Time
	// withdrawn is set once the record's deadline has passed. The record is then not
	// appended again, but an earlier append may still have put it into the log.
	withdrawn bool
}

// MayCommit returns an error if Commit would refuse a record now.
func (c *Core) MayCommit(now time.Time) error {
	switch {
	case c.leaving:
		return codes.New(codes.Leaving, "the entry is shutting down")
	case !c.ready:
		return NotReadyError()
	case c.writer.LogUnavailable(now):
		return logDownError()
	}
	return nil
}

// Commit queues a record for the log and returns its id. A later call of
// CommitResults returns its result. While the log does not respond, Commit refuses
// the record immediately.
func (c *Core) Commit(now time.Time, r *schema.Record) (uint64, error) {
	if err := c.MayCommit(now); err != nil {
		return 0, err
	}
	id := c.writer.Add(now, r)
	c.pendingCommits = append(c.pendingCommits, pendingCommit{id: id, deadline: now.Add(CommitTimeout)})
	return id, nil
}

// logDownError returns the error for a record that is certainly not in the log.
func logDownError() error {
	return codes.WithRetryAfter(codes.New(codes.LogDown, "the platform's log did not take it"), logRetryAfter)
}

// CommitResults returns the results of records that Commit queued, as far as they
// became known since the last call.
func (c *Core) CommitResults() []CommitResult {
	commitResults := c.commitResults
	c.commitResults = nil
	return commitResults
}

// resolveCommit sets the result of a record if Commit queued it.
func (c *Core) resolveCommit(r writer.Result) {
	i := slices.IndexFunc(c.pendingCommits, func(p pendingCommit) bool { return p.id == r.ID })
	if i < 0 {
		return
	}
	c.pendingCommits = slices.Delete(c.pendingCommits, i, i+1)
	c.commitResults = append(c.commitResults, CommitResult{ID: r.ID, Revision: r.Revision, Err: resultError(r)})
}

// resultError returns the error that the result of a record stands for, nil if the
// record was accepted.
func resultError(r writer.Result) error {
	switch {
	case r.Unknown:
		return codes.New(codes.FateUnknown, "the record was not read back; ask again with the same key")
	case r.Rejected:
		return codes.New(codes.BodyTooLarge, "the platform's log does not accept the record")
	case !r.Committed:
		return logDownError()
	case r.Code != codes.OK:
		return codes.New(r.Code, "%s", r.Code.Info().Meaning)
	}
	return nil
}

// expireCommits withdraws the records whose deadline has passed. A record that cannot
// be withdrawn gets the result codes.FateUnknown after withdrawTimeout.
func (c *Core) expireCommits(now time.Time) {
	var remaining []pendingCommit
	for _, p := range c.pendingCommits {
		switch {
		case now.Before(p.deadline):
			remaining = append(remaining, p)
		case !p.withdrawn && c.writer.Withdraw(p.id):
			c.commitResults = append(c.commitResults, CommitResult{ID: p.id, Err: logDownError()})
		case now.Before(p.deadline.Add(withdrawTimeout)):
			p.withdrawn = true
			remaining = append(remaining, p)
		default:
			err := codes.New(codes.FateUnknown, "the log did not answer; ask again with the same key")
			c.commitResults = append(c.commitResults, CommitResult{ID: p.id, Err: err})
		}
	}
	c.pendingCommits = remaining
}
