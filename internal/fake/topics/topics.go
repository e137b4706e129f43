// Package topics is a stand-in for the platform's store of topics, in memory.
//
// It keeps the newest record of each key and fences writers as the store does. Down
// refuses calls or leaves them unanswered; Lose carries out appends and says nothing.
package topics

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// repeats is how many of a writer's appends are known when they come again.
const repeats = 5

// Store is the stand-in. Its zero value is empty and works.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	calls  int
}

// Faults is what the store does wrong. The zero value is a sound store.
type Faults struct {
	// Refuse refuses all calls, Silent leaves them unanswered and does nothing.
	Refuse, Silent bool
	// LoseReplies carries out appends and leaves them unanswered.
	LoseReplies bool
}

type topic struct {
	log     []port.Record
	writers map[string]*writer
	// changed is closed when a record comes.
	changed chan struct{}
}

type writer struct {
	epoch, next uint64
	// past holds the answers to the latest appends by sequence number.
	past map[uint64]port.Position
}

// Set replaces the faults.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a record as the operator does.
func (s *Store) Put(name string, r port.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(r)
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{writers: map[string]*writer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records ...port.Record) {
	t.log = append(t.log, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// begin counts a call and returns the error of the faults in force.
func (s *Store) begin() error {
	s.calls++
	switch {
	case s.faults.Refuse:
		return port.ErrStoreRefused
	case s.faults.Silent:
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
	pos, err := s.topic(w.Topic).append(w)
	if s.faults.LoseReplies {
		return port.Position{}, port.ErrStoreUnknown
	}
	return pos, err
}

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
		wr = &writer{epoch: w.Epoch, next: w.Seq, past: map[uint64]port.Position{}}
		t.writers[w.Writer] = wr
	}
	if pos, ok := wr.past[w.Seq]; ok {
		return pos, nil
	}
	if w.Seq != wr.next {
		return end, port.ErrStoreSequence
	}
	t.add(w.Records...)
	pos := port.Position{End: int64(len(t.log))}
	wr.past[w.Seq] = pos
	delete(wr.past, w.Seq-repeats)
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
	newest := map[string]port.Record{}
	for _, r := range t.log {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	records := make([]port.Record, 0, len(newest))
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		records = append(records, newest[key])
	}
	return records, port.Position{End: int64(len(t.log))}, nil
}

// Read implements port.Store.
func (s *Store) Read(ctx context.Context, name string, from int64, wait time.Duration) ([]port.Record, port.Position, error) {
	records, changed, err := s.since(name, from)
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
	records, _, err = s.since(name, from)
	return records, port.Position{End: from + int64(len(records))}, err
}

func (s *Store) since(name string, from int64) ([]port.Record, chan struct{}, error) {
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
