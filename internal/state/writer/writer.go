// Package writer decides what one process appends to the log, and when.
//
// Records are grouped into batches with rising sequence numbers. One batch is
// under way at a time and is appended again until it is read back. Each attempt
// at one number may carry other records: the fold takes the first that lands
// and ignores the rest. A record can therefore be withdrawn with certainty: it
// is left out of later attempts, and once the number is read back without it,
// no attempt that carried it can take effect any more.
package writer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// BatchDelay is how long the first record of a batch waits for others.
	BatchDelay = 20 * time.Millisecond
	// MaxBatchSize bounds a batch, in bytes; a single larger record goes alone.
	MaxBatchSize = 48 << 10
	// MinBackoff is the wait after the first failed append; it doubles with each.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff bounds that wait.
	MaxBackoff = 2 * time.Second
	// SlowAppend is the age of an unanswered append from which the log counts
	// as down for new work.
	SlowAppend = 2 * time.Second
)

// Result is the fate of one record.
type Result struct {
	fold.Applied
	// Committed is false for a withdrawn record that never takes effect.
	Committed bool
	// Unknown is set if the log deleted the batch before it was read back.
	Unknown bool
}

// Writer groups records into batches. Make one with New. It is not safe for
// concurrent use.
type Writer struct {
	id     string
	seq    uint64
	nextID uint64
	// pending holds the records whose fate is open, oldest first.
	pending []*item
	// sent is set once an append of the batch seq was tried.
	sent bool
	// flying is set while an append awaits its answer.
	flying   bool
	flyingAt time.Time
	// acked is set when the log took the batch at offset ackedAt.
	acked   bool
	ackedAt uint64
	failing bool
	backoff time.Duration
	retryAt time.Time
	stats   Stats
}

// Stats counts the writer's appends.
type Stats struct {
	Appends  uint64 `json:"appends"`
	Failures uint64 `json:"failures"`
	Records  uint64 `json:"records"`
	Bytes    uint64 `json:"bytes"`
}

type item struct {
	id        uint64
	record    *schema.Record
	size      int
	addedAt   time.Time
	sent      bool
	withdrawn bool
}

// New returns a writer with an id that no other incarnation has. Its first
// record must be a Hello.
func New(id string) *Writer { return &Writer{id: id, seq: 1} }

// ID returns the writer's id.
func (w *Writer) ID() string { return w.id }

// Stats returns counts of the appends so far.
func (w *Writer) Stats() Stats { return w.stats }

// IdleTime returns how long ago the last batch was made; it is 0 while one is due.
func (w *Writer) IdleTime(now time.Time) time.Duration {
	if len(w.pending) > 0 || w.flyingAt.IsZero() {
		return 0
	}
	return now.Sub(w.flyingAt)
}

// Pending returns the number of records whose fate is open.
func (w *Writer) Pending() int { return len(w.pending) }

// Add queues a record and returns its id.
func (w *Writer) Add(now time.Time, r *schema.Record) uint64 {
	w.nextID++
	r.Id = w.nextID
	w.pending = append(w.pending, &item{id: r.Id, record: r, size: proto.Size(r), addedAt: now})
	return r.Id
}

// Withdraw leaves a record out of further appends. It returns true if the
// record certainly takes no effect already; otherwise Applied tells later.
func (w *Writer) Withdraw(id uint64) bool {
	for i, it := range w.pending {
		if it.id != id {
			continue
		}
		if !it.sent {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return true
		}
		it.withdrawn = true
	}
	return false
}

// LogUnavailable reports whether new work should be refused because the log does not
// answer. It holds as soon as an append failed and until one succeeds.
func (w *Writer) LogUnavailable(now time.Time) bool {
	return w.failing || (w.flying && now.Sub(w.flyingAt) > SlowAppend)
}

// NextAt returns when Next should be called again; zero means after an event.
func (w *Writer) NextAt() time.Time {
	if w.flying || w.acked || (len(w.pending) == 0 && !w.sent) {
		return time.Time{}
	}
	if w.sent {
		return w.retryAt
	}
	return w.pending[0].addedAt.Add(BatchDelay)
}

// Next returns the bytes to append now, if any. Appended must follow.
func (w *Writer) Next(now time.Time) ([]byte, bool) {
	wake := w.NextAt()
	if wake.IsZero() || now.Before(wake) {
		return nil, false
	}
	batch := &schema.Batch{Writer: w.id, Seq: w.seq, AtMs: now.UnixMilli()}
	size := 0
	for _, it := range w.pending {
		if it.withdrawn {
			continue
		}
		if size += it.size; size > MaxBatchSize && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, it.record)
		it.sent = true
	}
	w.sent, w.flying, w.flyingAt = true, true, now
	data := frame.Encode(batch)
	w.stats.Appends++
	w.stats.Records += uint64(len(batch.Records))
	w.stats.Bytes += uint64(len(data))
	return data, true
}

// Appended reports the answer to an append.
func (w *Writer) Appended(now time.Time, offset uint64, err error) {
	w.flying = false
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

// Read reports that the fold read all records before offset next. A batch that
// was taken but cannot be read back, because the log tore it, is sent again.
func (w *Writer) Read(now time.Time, next uint64) {
	if w.acked && next > w.ackedAt {
		w.acked = false
		w.retryAt = now
	}
}

// Applied reports the effect of a batch that the fold read. It returns the fate
// of records that became certain.
func (w *Writer) Applied(effect fold.Effect) []Result {
	if effect.Writer != w.id || effect.Seq != w.seq {
		return nil
	}
	landed := make(map[uint64]fold.Applied, len(effect.Records))
	for _, a := range effect.Records {
		landed[a.ID] = a
	}
	var results []Result
	var rest []*item
	for _, it := range w.pending {
		a, ok := landed[it.id]
		switch {
		case ok:
			results = append(results, Result{Applied: a, Committed: true})
		case it.withdrawn:
			results = append(results, Result{Applied: fold.Applied{ID: it.id}})
		default:
			it.sent = false
			rest = append(rest, it)
		}
	}
	w.pending = rest
	w.seq++
	w.sent, w.acked, w.failing, w.backoff = false, false, false, 0
	return results
}

// SkipTo reports that the state was loaded anew and covers this writer's batches
// up to seq. The fate of records in a batch that was not read is unknown.
func (w *Writer) SkipTo(seq uint64) []Result {
	if seq < w.seq {
		return nil
	}
	var results []Result
	var rest []*item
	for _, it := range w.pending {
		if it.sent {
			results = append(results, Result{Applied: fold.Applied{ID: it.id}, Unknown: true})
			continue
		}
		rest = append(rest, it)
	}
	w.pending = rest
	w.seq = seq + 1
	w.sent, w.acked = false, false
	return results
}
