package lead

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// maxBatchBytes is the size of a batch, in bytes, from which further changes wait for
	// the next one.
	maxBatchBytes = 512 << 10
	// batchInterval is the minimum time between batches, which limits the calls to the store.
	batchInterval = 12 * time.Millisecond
	// confirmInterval is how often a leader without changes appends an empty batch to check
	// that it still leads.
	confirmInterval = time.Second
)

// Batch is the content of one append to the store.
type Batch struct {
	Records []port.Record
	changes table.Batch
	// messages may be sent once the batch is in the store.
	messages []heldMessage
	// requests are answered once the batch is in the store.
	requests []heldRequest
	sentAt   time.Time
}

// NextBatch places waiting tasks and returns the next batch, or nil if none is due. The
// caller appends it, repeatedly if necessary, and then calls Stored or Rejected. Only one batch is
// in flight at a time. A batch without records only confirms the leadership.
func (l *Leader) NextBatch(now time.Time) *Batch {
	if l.inFlight != nil || now.Sub(l.flushedAt) < batchInterval {
		return nil
	}
	if l.placementDue {
		l.placementDue = false
		l.placeWaiting(now)
	}
	changes := l.nextChanges(now)
	messages := l.takeStored()
	if changes.Empty() {
		messages = l.releaseAllButStarts(messages)
		if len(messages)+len(l.heldRequests) == 0 && now.Sub(l.storeConfirmedAt) < confirmInterval {
			return nil
		}
	}
	records := changes.Records
	if !changes.Empty() && l.maxBatchJobs == 0 {
		extra, err := l.learnedRecord(now)
		if err != nil {
			l.log.Error("failed to record the learned estimates", "err", err)
		}
		if all := slices.Concat(records, extra); l.table.Limits.Covers(all) {
			records = all
		}
	}
	l.inFlight = &Batch{Records: records, changes: changes, sentAt: now, messages: messages, requests: l.heldRequests}
	l.heldRequests = nil
	l.stats.Batches++
	l.stats.Records += uint64(len(records))
	for _, r := range records {
		l.stats.BytesWritten += uint64(len(r.Key) + len(r.Value))
	}
	return l.inFlight
}

// nextChanges returns the table's next batch. It gives up the jobs that the store cannot take.
func (l *Leader) nextChanges(now time.Time) table.Batch {
	limit := min(maxBatchBytes, l.table.Limits.OrDefault().Call-maxLearnedBytes)
	if l.maxBatchJobs == 0 {
		changes, err := l.table.NextBatch(limit)
		l.giveUpUnstorable(now, changes.Unstorable, err)
		return changes
	}
	changes, err := l.table.NextBatchOf(l.maxBatchJobs, limit)
	l.giveUpUnstorable(now, changes.Unstorable, err)
	return changes
}

// releaseAllButStarts releases the messages, and parts of messages, that need no confirmation of the
// leadership, and returns the others. Another entry may lead by now, and may have cancelled a job
// whose runs this one would start.
func (l *Leader) releaseAllButStarts(messages []heldMessage) []heldMessage {
	var starts []heldMessage
	for _, m := range messages {
		o := m.Message.Orders
		if o == nil || len(o.Starts) == 0 {
			l.release(m.OutboundMessage)
			continue
		}
		if len(o.Stops)+len(o.Throttles) > 0 {
			others := *o
			others.Starts = nil
			l.release(OutboundMessage{m.Conn, &msgs.Message{Orders: &others}})
			o.Stops, o.Throttles = nil, nil
		}
		starts = append(starts, m)
	}
	return starts
}

// Stored must be called when the batch in flight is in the store. It releases the messages
// that waited for it.
func (l *Leader) Stored(now time.Time) {
	b := l.inFlight
	if b == nil {
		return
	}
	l.inFlight = nil
	// The store confirms that this entry led when the batch was sent, not later.
	l.storeConfirmedAt, l.flushedAt = b.sentAt, now
	b.changes.Stored()
	l.growBatches()
	for _, m := range b.messages {
		l.release(m.OutboundMessage)
	}
	for _, id := range b.changes.NewJobs() {
		l.confirmAccepted(now, id)
	}
	l.answerHeld(now, b.requests)
}

// NextWakeup returns when the caller should call Tick and NextBatch again.
func (l *Leader) NextWakeup(now time.Time) time.Time {
	next := now.Add(tickInterval)
	if len(l.surplus) > 0 {
		return now
	}
	if l.inFlight == nil && (l.placementDue || l.table.Dirty() || len(l.heldForStore) > 0 || len(l.heldRequests) > 0) {
		if due := l.flushedAt.Add(batchInterval); due.Before(next) {
			next = due
		}
	}
	return next
}

// tickInterval is how often a leader without changes checks its VMs.
const tickInterval = 100 * time.Millisecond

// takeStored removes and returns the held messages whose changes are all in a batch.
func (l *Leader) takeStored() []heldMessage {
	batched := l.table.Batched()
	var ready []heldMessage
	for len(l.heldForStore) > 0 && l.heldForStore[0].changes <= batched {
		ready = append(ready, l.heldForStore[0])
		l.heldForStore = l.heldForStore[1:]
	}
	return ready
}
