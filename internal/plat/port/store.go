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
	// ErrStoreTrimmed means that the requested records are no longer retained.
	ErrStoreTrimmed = errors.New("the records are no longer retained")
)

// Record is the newest value of a key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
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
