// Package writer decides what one process appends to the log, and when.
//
// Records are grouped into batches with increasing sequence numbers. Only one
// sequence number is in progress at a time: its batch is appended again until a
// batch with that number is read back. Each of these appends may contain different
// records, since the fold applies only the first batch in the log that has the
// number and ignores the others as duplicates. This allows a record to be withdrawn
// reliably: it is left out of later appends, and once the number is read back
// without it, no earlier append of the record can take effect.
package writer

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// BatchDelay is how long the first record of a batch waits for others.
	BatchDelay = 20 * time.Millisecond
	// MaxBatchSize limits the records of a batch, in bytes; a larger record is sent
	// in a batch of its own.
	MaxBatchSize = 48 << 10
	// MinBackoff is the delay after the first failed append. The delay doubles with
	// each further failure.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff limits that delay.
	MaxBackoff = 2 * time.Second
	// SlowAppend is the time without a response to an append after which the log
	// counts as unavailable for new work.
	SlowAppend = 2 * time.Second
)

// Result is the outcome of one record.
type Result struct {
	fold.Applied
	// Committed is set if the record was read back from the log. Otherwise the record
	// was withdrawn and never takes effect, unless Unknown is set.
	Committed bool
	// Rejected is set if the log does not accept the record.
	Rejected bool
	// Unknown is set if the log deleted the batch before it was read back, so that
	// the outcome cannot be determined.
	Unknown bool
}

// Writer groups records into batches. Create one with New. It is not safe for
// concurrent use.
type Writer struct {
	id string
	// seq is the sequence number in progress, the lowest that was not read back.
	seq uint64
	// lastID is the id of the record added last.
	lastID uint64
	// pending holds the records whose outcome is open, oldest first.
	pending []*pendingRecord
	// sent is set once a batch with the number seq was sent.
	sent bool
	// batch holds the records of the latest append.
	batch []*pendingRecord
	// maxRecords limits the records in a batch after the log has rejected one, until a batch is
	// read back; 0 means unlimited.
	maxRecords int
	// inFlight is set while an append awaits its response.
	inFlight bool
	// appendStartedAt is the start of the latest append.
	appendStartedAt time.Time
	// acked is set from the log's acknowledgment of the batch, at offset ackedAt,
	// until the log was read past that offset.
	acked   bool
	ackedAt uint64
	// failing is set from a failed append until an append succeeds or the batch is
	// read back.
	failing bool
	// backoff is the current delay between failed appends.
	backoff time.Duration
	// retryAt is when the batch may be sent again.
	retryAt time.Time
	stats   Stats
}

// Stats counts the writer's appends, including repeated ones.
type Stats struct {
	Appends  uint64 `json:"appends"`
	Failures uint64 `json:"failures"`
	// Rejected counts the appends that the log did not accept for what they held.
	Rejected uint64 `json:"rejected"`
	// Records and Bytes count the contents of all appends.
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"`
}

// pendingRecord is a record whose outcome is open.
type pendingRecord struct {
	id     uint64
	record *schema.Record
	// size is the encoded size of record, in bytes.
	size    int
	addedAt time.Time
	// sent is set once an append with the sequence number in progress contained the
	// record.
	sent bool
	// withdrawn is set if further appends leave the record out, rejected if that is because the
	// log does not accept it.
	withdrawn, rejected bool
}

// New returns a writer. Its id must differ from that of every other incarnation,
// and its first record must be a Hello.
func New(id string) *Writer { return &Writer{id: id, seq: 1} }

// ID returns the writer's id.
func (w *Writer) ID() string { return w.id }

// Stats returns counts of the appends so far.
func (w *Writer) Stats() Stats { return w.stats }

// IdleTime returns the time since the latest append started. It is 0 while records
// are pending and before the first append.
func (w *Writer) IdleTime(now time.Time) time.Duration {
	if len(w.pending) > 0 || w.appendStartedAt.IsZero() {
		return 0
	}
	return now.Sub(w.appendStartedAt)
}

// Pending returns the number of records whose outcome is open.
func (w *Writer) Pending() int { return len(w.pending) }

// Add queues a record, sets its id and returns the id.
func (w *Writer) Add(now time.Time, r *schema.Record) uint64 {
	w.lastID++
	r.Id = w.lastID
	w.pending = append(w.pending, &pendingRecord{id: r.Id, record: r, size: proto.Size(r), addedAt: now})
	return r.Id
}

// Withdraw leaves a record out of further appends. It returns true if no append
// contained the record, which then never takes effect. Otherwise Applied or SkipTo later
// returns its outcome.
func (w *Writer) Withdraw(id uint64) bool {
	for i, p := range w.pending {
		if p.id != id {
			continue
		}
		if !p.sent {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return true
		}
		p.withdrawn = true
	}
	return false
}

// LogUnavailable reports whether new work should be refused because the log does not
// respond: an append is slower than SlowAppend, or the latest one failed and no batch
// was read back since.
func (w *Writer) LogUnavailable(now time.Time) bool {
	return w.failing || (w.inFlight && now.Sub(w.appendStartedAt) > SlowAppend)
}

// NextAt returns when Next should be called again. Zero means that nothing is due
// before another method of the writer is called.
func (w *Writer) NextAt() time.Time {
	if w.inFlight || w.acked || (len(w.pending) == 0 && !w.sent) {
		return time.Time{}
	}
	if w.sent {
		return w.retryAt
	}
	return w.pending[0].addedAt.Add(BatchDelay)
}

// Next returns the log entry to append now, if any. The caller must append it and
// report the result to Appended.
func (w *Writer) Next(now time.Time) ([]byte, bool) {
	due := w.NextAt()
	if due.IsZero() || now.Before(due) {
		return nil, false
	}
	batch := &schema.Batch{Writer: w.id, Seq: w.seq, AtMs: now.UnixMilli()}
	size := 0
	w.batch = nil
	for _, p := range w.pending {
		if p.withdrawn {
			continue
		}
		if w.maxRecords > 0 && len(w.batch) == w.maxRecords {
			break
		}
		if size += p.size; size > MaxBatchSize && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, p.record)
		w.batch = append(w.batch, p)
		p.sent = true
	}
	w.sent, w.inFlight, w.appendStartedAt = true, true, now
	data := frame.Encode(batch)
	w.stats.Appends++
	w.stats.Records += uint64(len(batch.Records))
	w.stats.Bytes += uint64(len(data))
	return data, true
}

// Appended records the result of an append. If err is nil, offset is the offset of
// the log entry. If the log does not accept a batch, the next ones have fewer records, until
// the one that it does not accept is known; that is withdrawn.
func (w *Writer) Appended(now time.Time, offset uint64, err error) {
	w.inFlight = false
	if errors.Is(err, port.ErrLogRejected) && len(w.batch) > 0 {
		w.stats.Rejected++
		w.retryAt = now
		if len(w.batch) == 1 {
			w.batch[0].withdrawn, w.batch[0].rejected = true, true
		}
		w.maxRecords = max(1, len(w.batch)/2)
		return
	}
	if err != nil {
		w.stats.Failures++
		w.failing = true
		w.backoff = min(max(2*w.backoff, MinBackoff), MaxBackoff)
		w.retryAt = now.Add(w.backoff)
		return
	}
	w.failing, w.backoff = false, 0
	if w.sent {
		w.acked, w.ackedAt = true, offset
	}
}

// Read records that the fold has applied all log entries before offset next. A batch
// that the log acknowledged but that was not applied by then is corrupt in the log,
// and is sent again.
func (w *Writer) Read(now time.Time, next uint64) {
	if w.acked && next > w.ackedAt {
		w.acked = false
		w.retryAt = now
	}
}

// Applied records the effect of a batch that the fold applied. It returns the
// outcomes of the records that this decides.
func (w *Writer) Applied(effect fold.Effect) []Result {
	if effect.Writer != w.id || effect.Seq != w.seq {
		return nil
	}
	applied := make(map[uint64]fold.Applied, len(effect.Records))
	for _, a := range effect.Records {
		applied[a.ID] = a
	}
	var results []Result
	var remaining []*pendingRecord
	for _, p := range w.pending {
		a, ok := applied[p.id]
		switch {
		case ok:
			results = append(results, Result{Applied: a, Committed: true})
		case p.withdrawn:
			results = append(results, Result{Applied: fold.Applied{ID: p.id}, Rejected: p.rejected})
		default:
			p.sent = false
			remaining = append(remaining, p)
		}
	}
	w.pending = remaining
	w.seq++
	w.maxRecords = 0
	w.sent, w.acked, w.failing, w.backoff = false, false, false, 0
	return results
}

// SkipTo records that the state was loaded again from a snapshot that covers this
// writer's batches up to seq. It returns the records of a batch that was sent but
// not read, whose outcome is unknown.
func (w *Writer) SkipTo(seq uint64) []Result {
	if seq < w.seq {
		return nil
	}
	var results []Result
	var remaining []*pendingRecord
	for _, p := range w.pending {
		if p.sent {
			results = append(results, Result{Applied: fold.Applied{ID: p.id}, Unknown: true})
			continue
		}
		remaining = append(remaining, p)
	}
	w.pending = remaining
	w.seq = seq + 1
	w.sent, w.acked = false, false
	return results
}
