package port

import (
	"context"
	"errors"
	"time"
)

// Errors of Store. After any of them except ErrStoreUnknown, the append had no effect.
var (
	// ErrStoreFenced means that a writer with a higher epoch has taken over.
	ErrStoreFenced = errors.New("a writer with a higher epoch has taken over")
	// ErrStoreEndMismatch means that the topic does not end at the offset that the
	// append expects.
	ErrStoreEndMismatch = errors.New("the topic does not end at the expected offset")
	// ErrStoreSequence means that another writer uses the same epoch.
	ErrStoreSequence = errors.New("the append does not follow the writer's last append")
	// ErrStoreRefused means that the store refused the call.
	ErrStoreRefused = errors.New("the store refused the call")
	// ErrStoreUnknown means that there was no response: the append may have been
	// carried out, or may be seconds later.
	ErrStoreUnknown = errors.New("no answer from the store")
	// ErrStoreRejected means that the store does not accept what the append holds, such as a
	// record that is too large. Repeating it cannot help.
	ErrStoreRejected = errors.New("the store does not accept what the append holds")
	// ErrStoreTrimmed means that the requested records are no longer retained.
	ErrStoreTrimmed = errors.New("the records are no longer retained")
)

// Record is the newest value of a key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// recordOverhead is the size, in bytes, of what the store adds to a key and a value: the length
// of the record and that of the key.
const recordOverhead = 5

// Size returns the size of the record in the store, in bytes.
func (r Record) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Limits are the sizes up to which the store accepts appends, in bytes.
type Limits struct {
	// Record limits a record, Call the sum of the records of one append.
	Record, Call int
}

// Sizes of the store's default limits, in bytes.
const (
	defaultRecordLimit = 256 << 10
	defaultCallLimit   = 2 << 20
)

// OrDefault returns the limits with defaults in place of those that are not set.
func (l Limits) OrDefault() Limits {
	if l.Record <= 0 {
		l.Record = defaultRecordLimit
	}
	if l.Call <= 0 {
		l.Call = defaultCallLimit
	}
	return l
}

// Covers reports whether the store accepts an append of the records.
func (l Limits) Covers(records []Record) bool {
	l = l.OrDefault()
	sum := 0
	for _, r := range records {
		if r.Size() > l.Record {
			return false
		}
		sum += r.Size()
	}
	return sum <= l.Call
}

// Write is an append to a topic. The topic retains the newest record of each key.
type Write struct {
	Topic string
	// Writer, Epoch and Seq fence the append: the store refuses an epoch lower than one
	// that the writer has used, and carries out repeated appends with the same Seq only
	// once. Seq increases by 1 with each append of an epoch. An append with an empty
	// Writer is not fenced.
	Writer string
	Epoch  uint64
	Seq    uint64
	// Repeated is set if an earlier try of the append had no response, and so may have been
	// carried out.
	Repeated bool
	// ExpectedEnd is the offset at which the topic must end for the append to be carried
	// out. A negative value means any offset.
	ExpectedEnd int64
	Records     []Record
}

// Position is a position in a topic.
type Position struct {
	// End is the offset after the newest record, or after the last record returned.
	End int64
}

// Store is the platform's store, which consists of topics.
type Store interface {
	// Append appends all records or none. It returns the position of the topic's end
	// after the append or, with ErrStoreEndMismatch, the current one.
	Append(ctx context.Context, w Write) (Position, error)
	// Newest returns the newest record of each key, and the position of the topic's end
	// when the call started.
	Newest(ctx context.Context, topic string) ([]Record, Position, error)
	// Read returns the records from an offset on, and the position to continue from. It
	// waits up to wait for the first record.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, Position, error)
}
