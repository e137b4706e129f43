// Package port defines the interfaces between the system and the platform that it
// runs on: the platform's append-only log, its store and the workers on its VMs.
//
// When the platform's API changes, only the adapters that implement these interfaces
// have to change.
package port

import (
	"context"
	"errors"
	"time"
)

// ErrDeleted is returned by Log.Read when the offset is no longer retained.
var ErrDeleted = errors.New("offset is no longer retained")

// ErrLogRejected is returned by Log.Append when the log does not accept the data, for example
// because it is too large. Repeating the append cannot help.
var ErrLogRejected = errors.New("the log does not accept the entry")

// Entry is one entry of the log.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends data and returns its offset. After an error other than ErrLogRejected it
	// is unknown whether the data has been appended, and it may still be appended later.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to limit entries, starting at offset from, and the offset to read
	// next. It waits up to wait for the first entry. With ErrDeleted it returns the
	// oldest retained offset instead of the next one.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) ([]Entry, uint64, error)
}
