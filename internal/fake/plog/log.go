// Package plog is a small stand-in for the platform's append-only log, with
// switches for its faults.
package plog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// ErrDown is returned while the log is switched off, and for lost answers.
var ErrDown = errors.New("log does not answer")

// Faults are the switches of a Log.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// LoseAnswers makes that many further appends fail after they took effect.
	LoseAnswers int
	// Delay is added to each append.
	Delay time.Duration
	// Retain is the number of entries kept; 0 keeps all.
	Retain int
}

// Log implements port.Log in memory. Its zero value is empty and ready for use.
// It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	entries []port.Entry
	next    uint64
	faults  Faults
	grown   chan struct{}
	bytes   uint64
}

// Set changes the switches.
func (l *Log) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.trim()
}

// Faults returns the switches.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of entries appended and their bytes.
func (l *Log) Appends() (uint64, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.bytes
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
	offset := l.append(data)
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, ErrDown
	}
	return offset, nil
}

func (l *Log) append(data []byte) uint64 {
	l.next++
	l.bytes += uint64(len(data))
	l.entries = append(l.entries, port.Entry{Offset: l.next, Data: data})
	l.trim()
	if l.grown != nil {
		close(l.grown)
		l.grown = nil
	}
	return l.next
}

func (l *Log) trim() {
	if n := len(l.entries) - l.faults.Retain; l.faults.Retain > 0 && n > 0 {
		l.entries = append([]port.Entry(nil), l.entries[n:]...)
	}
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, from uint64, most int, wait time.Duration) ([]port.Entry, uint64, error) {
	entries, next, grown, err := l.read(from, most)
	if err != nil || len(entries) > 0 || wait <= 0 {
		return entries, next, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	case <-ctx.Done():
		return nil, from, ctx.Err()
	}
	entries, next, _, err = l.read(from, most)
	return entries, next, err
}

func (l *Log) read(from uint64, most int) ([]port.Entry, uint64, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, from, nil, ErrDown
	}
	from = max(from, 1)
	oldest := l.next - uint64(len(l.entries)) + 1
	if from < oldest {
		return nil, oldest, nil, port.ErrDeleted
	}
	start := min(int(from-oldest), len(l.entries))
	entries := l.entries[start:min(start+most, len(l.entries))]
	if l.grown == nil {
		l.grown = make(chan struct{})
	}
	return entries, from + uint64(len(entries)), l.grown, nil
}
