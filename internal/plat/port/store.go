package port

import (
	"context"
	"errors"
	"time"
)

// Errors of Store. All but ErrStoreUnknown say that the append did nothing.
var (
	// ErrStoreFenced says that a writer of a higher epoch has taken over.
	ErrStoreFenced = errors.New("a higher epoch has written")
	// ErrStoreEndMismatch says that the partition does not end where the append expects.
	ErrStoreEndMismatch = errors.New("the partition has a different end")
	// ErrStoreSequence says that another writer uses the same epoch.
	ErrStoreSequence = errors.New("the append does not follow the writer's last")
	// ErrStoreRefused says that the store refused the call.
	ErrStoreRefused = errors.New("the store refuses the call")
	// ErrStoreUnknown says that no answer came: the append may be done, now or
	// seconds later.
	ErrStoreUnknown = errors.New("no answer from the store")
	// ErrStoreTrimmed says that the records asked for are no longer kept.
	ErrStoreTrimmed = errors.New("the records are no longer kept")
)

// Record is a key with its newest value; an empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Write is an append to a topic that keeps the newest record of each key.
type Write struct {
	Topic string
	// Writer, Epoch and Seq fence the append: a lower epoch than one seen is
	// refused, and the same Seq again is done once. Writer may be empty.
	Writer string
	Epoch  uint64
	Seq    uint64
	// ExpectedEnd, if not negative, is the offset at which the topic must end.
	ExpectedEnd int64
	Records     []Record
}

// Position is where a topic stands.
type Position struct {
	// End is the offset after the newest record.
	End int64
}

// Store is the platform's store of topics.
type Store interface {
	// Append adds records, all or none. It returns where the topic then ends, or
	// with ErrStoreMoved where it ends instead.
	Append(ctx context.Context, w Write) (Position, error)
	// Newest returns the newest record of each key and where the topic ended when
	// the reading began.
	Newest(ctx context.Context, topic string) ([]Record, Position, error)
	// Read returns the records from an offset on, waiting up to wait for the first,
	// and the offset to go on with.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, Position, error)
}
