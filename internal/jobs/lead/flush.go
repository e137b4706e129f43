package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// maxBatchBytes is the size of a batch from which further changes wait, in bytes.
	maxBatchBytes = 512 << 10
	// batchInterval spaces batches, so that calls to the store stay few.
	batchInterval = 12 * time.Millisecond
	// confirmInterval is how often an idle leader asks the store whether it still leads.
	confirmInterval = time.Second
)

// Batch is what goes to the store in one append.
type Batch struct {
	Records  []port.Record
	changes  book.Batch
	messages []OutboundMessage
	sentAt   time.Time
}

// Take places waiting work and returns the next batch, or nil if none is due. The
// caller appends it, however often it must, and then calls Stored; there is one
// batch at a time. A batch without records only confirms the leadership.
func (l *Leader) Take(now time.Time) (*Batch, error) {
	if l.inFlight != nil || now.Sub(l.flushedAt) < batchInterval {
		return nil, nil
	}
	if l.placementDue {
		l.placementDue = false
		l.placeWaiting(now)
	}
	changes, err := l.book.Take(maxBatchBytes)
	if err != nil {
		return nil, err
	}
	if changes.Empty() {
		l.outbound = append(l.outbound, l.heldForStore...)
		l.heldForStore = nil
		if now.Sub(l.storeConfirmedAt) < confirmInterval {
			return nil, nil
		}
	}
	records := changes.Records
	if !changes.Empty() {
		extra, err := l.learnedRecord(now)
		if err != nil {
			l.log.Error("cannot record what was learned", "err", err)
		}
		records = append(records, extra...)
	}
	l.inFlight = &Batch{Records: records, changes: changes, sentAt: now, messages: l.heldForStore}
	l.heldForStore = nil
	l.stats.Batches++
	l.stats.Records += uint64(len(records))
	for _, r := range records {
		l.stats.BytesWritten += uint64(len(r.Key) + len(r.Value))
	}
	return l.inFlight, nil
}

// Stored notes that the batch under way is in the store.
func (l *Leader) Stored(now time.Time) {
	b := l.inFlight
	if b == nil {
		return
	}
	l.inFlight = nil
	// What the store confirms is that this entry led when it was asked.
	l.storeConfirmedAt, l.flushedAt = b.sentAt, now
	b.changes.Stored()
	l.outbound = append(l.outbound, b.messages...)
	for _, id := range b.changes.Jobs() {
		l.confirmAccepted(now, id)
	}
}

// NextWakeup returns when the leader has something to do again.
func (l *Leader) NextWakeup(now time.Time) time.Time {
	next := now.Add(tickInterval)
	if l.inFlight == nil && (l.placementDue || l.book.Dirty() || len(l.heldForStore) > 0) {
		if due := l.flushedAt.Add(batchInterval); due.Before(next) {
			next = due
		}
	}
	return next
}

// tickInterval is how often an idle leader looks at its VMs.
const tickInterval = 100 * time.Millisecond
