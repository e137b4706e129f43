package core

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// CommitTimeout is how long a record may take to be read back.
	CommitTimeout = 5 * time.Second
	// withdrawTimeout is how much longer its fate may stay open after that.
	withdrawTimeout = 2 * time.Second
	retryLogAfter   = 5 * time.Second
)

// CommitResult is what became of a record that Commit queued.
type CommitResult struct {
	ID uint64
	// Revision is the team's revision after a configuration change, or the one in
	// force if the change was refused.
	Revision uint64
	// Err is nil once the record is in force.
	Err error
}

// commit is a record whose fate somebody waits for.
type commit struct {
	id       uint64
	deadline time.Time
	// withdrawn is set once the record is left out of further appends.
	withdrawn bool
}

// Commit queues a record for the log and returns its id; Fates tells what became
// of it. It is refused at once while the log does not answer.
func (c *Core) Commit(now time.Time, r *schema.Record) (uint64, error) {
	switch {
	case c.leaving:
		return 0, codes.New(codes.Leaving, "the entry is shutting down")
	case !c.ready:
		return 0, codes.New(codes.NotReady, "the entry has not caught up with the log")
	case c.writer.LogUnavailable(now):
		return 0, notAccepted()
	}
	id := c.writer.Add(now, r)
	c.commits = append(c.commits, commit{id: id, deadline: now.Add(CommitTimeout)})
	return id, nil
}

func notAccepted() error {
	return codes.WithRetryAfter(codes.New(codes.LogDown, "the platform's log did not take it"), retryLogAfter)
}

// CommitResults returns the fates that became certain since the last call.
func (c *Core) CommitResults() []CommitResult {
	fates := c.fates
	c.fates = nil
	return fates
}

// settle passes on the fate of a record, if somebody waits for it.
func (c *Core) settle(r writer.Result) {
	i := slices.IndexFunc(c.commits, func(p commit) bool { return p.id == r.ID })
	if i < 0 {
		return
	}
	c.commits = slices.Delete(c.commits, i, i+1)
	c.fates = append(c.fates, CommitResult{ID: r.ID, Revision: r.Revision, Err: resultError(r)})
}

func resultError(r writer.Result) error {
	switch {
	case r.Unknown:
		return codes.New(codes.FateUnknown, "the record was not read back; ask again with the same key")
	case !r.Committed:
		return notAccepted()
	case r.Code != codes.OK:
		return codes.New(r.Code, "%s", r.Code.Info().Meaning)
	}
	return nil
}

// tickCommits withdraws records that take too long and gives up on those whose
// fate stays open.
func (c *Core) tickCommits(now time.Time) {
	var rest []commit
	for _, p := range c.commits {
		switch {
		case now.Before(p.deadline):
			rest = append(rest, p)
		case !p.withdrawn && c.writer.Withdraw(p.id):
			c.fates = append(c.fates, CommitResult{ID: p.id, Err: notAccepted()})
		case now.Before(p.deadline.Add(withdrawTimeout)):
			p.withdrawn = true
			rest = append(rest, p)
		default:
			err := codes.New(codes.FateUnknown, "the log did not answer; ask again with the same key")
			c.fates = append(c.fates, CommitResult{ID: p.id, Err: err})
		}
	}
	c.commits = rest
}
