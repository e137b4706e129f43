package lead

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/book"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// batchLimit is the size of a batch from which further changes wait, in bytes.
	batchLimit = 512 << 10
	// batchEvery spaces batches, so that calls to the store stay few.
	batchEvery = 12 * time.Millisecond
	// confirmEvery is how often an idle leader asks the store whether it still leads.
	confirmEvery = time.Second
)

// Batch is what goes to the store in one append.
type Batch struct {
	Records []port.Record
	changes book.Batch
	effects []OutboundMessage
	sentAt  time.Time
}

// Take places waiting work and returns the next batch, or nil if none is due. The
// caller appends it, however often it must, and then calls Stored; there is one
// batch at a time. A batch without records only confirms the leadership.
func (l *Leader) Take(now time.Time) (*Batch, error) {
	if l.flight != nil || now.Sub(l.flushedAt) < batchEvery {
		return nil, nil
	}
	if l.changed {
		l.changed = false
		l.place(now)
	}
	changes, err := l.book.Take(batchLimit)
	if err != nil {
		return nil, err
	}
	if changes.Empty() {
		l.out = append(l.out, l.held...)
		l.held = nil
		if now.Sub(l.storeAt) < confirmEvery {
			return nil, nil
		}
	}
	records := changes.Records
	if !changes.Empty() {
		extra, err := l.remember(now)
		if err != nil {
			l.log.Error("cannot record what was learned", "err", err)
		}
		records = append(records, extra...)
	}
	l.flight = &Batch{Records: records, changes: changes, sentAt: now, effects: l.held}
	l.held = nil
	l.stats.Batches++
	l.stats.Records += uint64(len(records))
	for _, r := range records {
		l.stats.BytesWritten += uint64(len(r.Key) + len(r.Value))
	}
	return l.flight, nil
}

// Stored notes that the batch under way is in the store.
func (l *Leader) Stored(now time.Time) {
	b := l.flight
	if b == nil {
		return
	}
	l.flight = nil
	// What the store confirms is that this entry led when it was asked.
	l.storeAt, l.flushedAt = b.sentAt, now
	b.changes.Stored()
	l.out = append(l.out, b.effects...)
	for _, id := range b.changes.Jobs() {
		l.accepted(now, id)
	}
}

// NextWakeup returns when the leader has something to do again.
func (l *Leader) NextWakeup(now time.Time) time.Time {
	next := now.Add(tickEvery)
	if l.flight == nil && (l.changed || l.book.Dirty() || len(l.held) > 0) {
		if due := l.flushedAt.Add(batchEvery); due.Before(next) {
			next = due
		}
	}
	return next
}

// tickEvery is how often an idle leader looks at its VMs.
const tickEvery = 100 * time.Millisecond
