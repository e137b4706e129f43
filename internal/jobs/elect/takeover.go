package elect

import "time"

const (
	// maxStaggered is the number of entries whose claims are ClaimStagger apart. With more
	// entries the others follow lateClaimStagger apart, so that the delay hardly grows with
	// the fleet.
	maxStaggered     = 10
	lateClaimStagger = 20 * time.Millisecond
)

// Takeover is an entry's plan to replace the leader that it is connected to. The entry
// handles the leader's messages until the claim is due, so that it notices at once if the
// leader recovers or another entry was faster. The zero value is no plan.
type Takeover struct {
	reason string
	// claimAt is when the claim is due, zero if there is no plan.
	claimAt time.Time
}

// Plan plans a claim, unless one is planned. rank is the number of entries that should claim
// before this one. storeFails is set if this entry does not reach the store: then only the
// entry that should claim first keeps trying, so that the others wait for it when the store
// returns.
func (t *Takeover) Plan(now time.Time, reason string, rank int, storeFails bool) {
	if storeFails && rank > 0 {
		t.Cancel()
		return
	}
	if t.claimAt.IsZero() {
		*t = Takeover{reason, now.Add(takeoverDelay(rank))}
	}
}

// Cancel drops the plan.
func (t *Takeover) Cancel() { *t = Takeover{} }

// Due returns the reason of a claim that is due and drops the plan. It returns false if no
// claim is due.
func (t *Takeover) Due(now time.Time) (reason string, due bool) {
	if t.claimAt.IsZero() || now.Before(t.claimAt) {
		return "", false
	}
	reason = t.reason
	t.Cancel()
	return reason, true
}

// NextWakeup returns the earlier of the given time and the time at which a claim is due.
func (t *Takeover) NextWakeup(other time.Time) time.Time {
	if !t.claimAt.IsZero() && t.claimAt.Before(other) {
		return t.claimAt
	}
	return other
}

// takeoverDelay returns the delay of the claim of the entry with a rank.
func takeoverDelay(rank int) time.Duration {
	first := min(rank, maxStaggered)
	return time.Duration(first)*ClaimStagger + time.Duration(rank-first)*lateClaimStagger
}
