// Package port defines the narrow interfaces through which the system meets
// the platform: its append-only log and the workers on its VMs.
//
// Only adapters of these interfaces change when the platform's own API is met.
package port

import (
	"context"
	"errors"
	"time"
)

// ErrDeleted is returned by Log.Read when the offset is no longer retained.
var ErrDeleted = errors.New("offset is no longer retained")

// Entry is one record of the log.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds data and returns its offset. After an error the data may or
	// may not have been added, or may be added later.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns at most most entries from offset from on, waiting up to wait
	// for the first. It returns the next offset to read, and with ErrDeleted the
	// oldest offset retained.
	Read(ctx context.Context, from uint64, most int, wait time.Duration) ([]Entry, uint64, error)
}
