// Package plog simulates the platform's append-only log, in memory and over HTTP, and can inject
// faults.
package plog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// ErrDown is returned while the log is down, and for appends whose reply was lost.
var ErrDown = errors.New("log does not answer")

// Faults selects what a Log does wrong. With the zero value it works.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// LoseReplies is the number of further appends that fail after they took effect.
	LoseReplies int
	// Delay is the time that each append takes.
	Delay time.Duration
	// MaxEntry is the size of the largest entry that the log accepts, in bytes; 0 is unlimited.
	MaxEntry int
	// Retain is the number of entries that the log keeps; 0 keeps all.
	Retain int
}

// Log implements port.Log in memory. Its zero value is empty and ready for use.
// It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	entries []port.Entry
	// lastOffset is the offset of the latest entry; offsets start at 1.
	lastOffset uint64
	faults     Faults
	// appended is closed at the next append; nil if no reader waits.
	appended chan struct{}
	// bytes is the sum of the sizes of all entries so far.
	bytes uint64
}

// Set replaces the current faults.
func (l *Log) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.trim()
}

// Faults returns the current faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of entries appended so far and the sum of their sizes in bytes.
func (l *Log) Appends() (uint64, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastOffset, l.bytes
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	if d := l.Faults().Delay; d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, ErrDown
	}
	if l.faults.MaxEntry > 0 && len(data) > l.faults.MaxEntry {
		return 0, port.ErrLogRejected
	}
	offset := l.append(data)
	if l.faults.LoseReplies > 0 {
		l.faults.LoseReplies--
		return 0, ErrDown
	}
	return offset, nil
}

func (l *Log) append(data []byte) uint64 {
	l.lastOffset++
	l.bytes += uint64(len(data))
	l.entries = append(l.entries, port.Entry{Offset: l.lastOffset, Data: data})
	l.trim()
	if l.appended != nil {
		close(l.appended)
		l.appended = nil
	}
	return l.lastOffset
}

// trim deletes the oldest entries beyond Retain.
func (l *Log) trim() {
	if n := len(l.entries) - l.faults.Retain; l.faults.Retain > 0 && n > 0 {
		l.entries = append([]port.Entry(nil), l.entries[n:]...)
	}
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) ([]port.Entry, uint64, error) {
	entries, next, appended, err := l.read(from, limit)
	if err != nil || len(entries) > 0 || wait <= 0 {
		return entries, next, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-ctx.Done():
		return nil, from, ctx.Err()
	}
	entries, next, _, err = l.read(from, limit)
	return entries, next, err
}

// read reads without waiting. It also returns a channel that is closed at the next append.
func (l *Log) read(from uint64, limit int) ([]port.Entry, uint64, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, from, nil, ErrDown
	}
	from = max(from, 1)
	oldest := l.lastOffset - uint64(len(l.entries)) + 1
	if from < oldest {
		return nil, oldest, nil, port.ErrDeleted
	}
	start := min(int(from-oldest), len(l.entries))
	entries := l.entries[start:min(start+limit, len(l.entries))]
	if l.appended == nil {
		l.appended = make(chan struct{})
	}
	return entries, from + uint64(len(entries)), l.appended, nil
}
