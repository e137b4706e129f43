// Package topics simulates the platform's store of topics, in memory.
//
// Like the platform's store, it returns the newest record of each key and fences writers by
// epoch and sequence number. Faults make calls fail or lose the replies of appends.
package topics

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/stack"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// rememberedAppends is the number of a writer's latest appends that the store recognizes
// when they are repeated.
const rememberedAppends = 5

// Store implements port.Store. The zero value is an empty store that is ready for use. It is
// safe for concurrent use.
type Store struct {
	// Limits are the sizes up to which the store accepts appends. They are set before first use.
	Limits port.Limits

	mu     sync.Mutex
	topics map[string]*topic
	faults stack.Stack[Faults]
	calls  int
	// rejected counts the appends that exceeded Limits.
	rejected int
}

// Faults selects what the store does wrong. With the zero value it works.
type Faults struct {
	// Refuse makes every call fail with port.ErrStoreRefused. Silent makes every call fail
	// with port.ErrStoreUnknown and without effect.
	Refuse, Silent bool
	// LoseReplies makes every append fail with port.ErrStoreUnknown after it took effect.
	LoseReplies bool
}

type topic struct {
	log []port.Record
	// newest holds the newest record of each key, unless that has no value.
	newest  map[string]port.Record
	writers map[string]*writer
	// changed is closed and replaced when records are appended.
	changed chan struct{}
}

type writer struct {
	// epoch is the writer's latest epoch, next the sequence number that its next append
	// must have.
	epoch, next uint64
	// replies holds the replies to the latest appends, by sequence number.
	replies map[uint64]port.Position
}

// Disturb adds faults until end is called. Others stay in effect.
func (s *Store) Disturb(f Faults) (end func()) { return s.faults.Add(f) }

// currentFaults returns all faults in effect.
func (s *Store) currentFaults() Faults {
	return s.faults.Fold(func(x, y Faults) Faults {
		return Faults{Refuse: x.Refuse || y.Refuse, Silent: x.Silent || y.Silent, LoseReplies: x.LoseReplies || y.LoseReplies}
	})
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Rejected returns the number of appends so far that exceeded the limits.
func (s *Store) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Put appends a record without a writer, as an operator's tool does. Faults don't affect it.
func (s *Store) Put(name string, r port.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(r)
}

// topic returns a topic, which it creates if necessary.
func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]port.Record{}, writers: map[string]*writer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records and wakes the readers that wait.
func (t *topic) add(records ...port.Record) {
	t.log = append(t.log, records...)
	for _, r := range records {
		t.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// begin counts a call and returns the error that the current faults cause.
func (s *Store) begin() error {
	s.calls++
	faults := s.currentFaults()
	switch {
	case faults.Refuse:
		return port.ErrStoreRefused
	case faults.Silent:
		return port.ErrStoreUnknown
	}
	return nil
}

// Append implements port.Store.
func (s *Store) Append(_ context.Context, w port.Write) (port.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return port.Position{}, err
	}
	if !s.Limits.Covers(w.Records) {
		s.rejected++
		return port.Position{}, port.ErrStoreRejected
	}
	pos, err := s.topic(w.Topic).append(w)
	if s.currentFaults().LoseReplies {
		return port.Position{}, port.ErrStoreUnknown
	}
	return pos, err
}

// append appends the records of a write unless the expected end or the writer's epoch or
// sequence number forbids it. Repeated writes get the earlier reply.
func (t *topic) append(w port.Write) (port.Position, error) {
	end := port.Position{End: int64(len(t.log))}
	if w.ExpectedEnd >= 0 && w.ExpectedEnd != end.End {
		return end, port.ErrStoreEndMismatch
	}
	if w.Writer == "" {
		t.add(w.Records...)
		return port.Position{End: int64(len(t.log))}, nil
	}
	wr := t.writers[w.Writer]
	switch {
	case wr != nil && w.Epoch < wr.epoch:
		return end, port.ErrStoreFenced
	case wr == nil || w.Epoch > wr.epoch:
		wr = &writer{epoch: w.Epoch, next: w.Seq, replies: map[uint64]port.Position{}}
		t.writers[w.Writer] = wr
	}
	if pos, ok := wr.replies[w.Seq]; ok {
		return pos, nil
	}
	if w.Seq != wr.next {
		return end, port.ErrStoreSequence
	}
	t.add(w.Records...)
	pos := port.Position{End: int64(len(t.log))}
	wr.replies[w.Seq] = pos
	delete(wr.replies, w.Seq-rememberedAppends)
	wr.next++
	return pos, nil
}

// Newest implements port.Store.
func (s *Store) Newest(_ context.Context, name string) ([]port.Record, port.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, port.Position{}, err
	}
	t := s.topic(name)
	records := make([]port.Record, 0, len(t.newest))
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		records = append(records, t.newest[key])
	}
	return records, port.Position{End: int64(len(t.log))}, nil
}

// Read implements port.Store.
func (s *Store) Read(ctx context.Context, name string, from int64, wait time.Duration) ([]port.Record, port.Position, error) {
	records, changed, err := s.readFrom(name, from)
	if err != nil || len(records) > 0 || wait <= 0 {
		return records, port.Position{End: from + int64(len(records))}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return nil, port.Position{End: from}, port.ErrStoreUnknown
	}
	records, _, err = s.readFrom(name, from)
	return records, port.Position{End: from + int64(len(records))}, err
}

// readFrom returns the records at and after an offset, and a channel that is closed when more
// are appended.
func (s *Store) readFrom(name string, from int64) ([]port.Record, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, nil, err
	}
	t := s.topic(name)
	if from > int64(len(t.log)) {
		return nil, t.changed, nil
	}
	return slices.Clone(t.log[from:]), t.changed, nil
}
