package fold

import (
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Writer is one incarnation of an entry that writes to the log.
type Writer struct {
	ID string
	// Seq is the highest sequence number that was applied; only batches with a higher
	// one take effect.
	Seq uint64
	// LastSeen is the fold's clock at the writer's latest batch.
	LastSeen time.Time
	// JoinedAt is the offset of the writer's Hello, or of its first batch after a
	// silence longer than EntryTimeout.
	JoinedAt uint64
	Name     string
	Zone     string
	PeerAddr string
	// Left is set by the writer's Goodbye and never cleared.
	Left bool
}

// admit reports whether a batch takes effect and registers new writers.
//
// An unknown writer is registered only by a Hello in its batch 1. Otherwise a batch
// that the platform delays past WriterRetention could take effect a second time,
// since the writer's sequence number is no longer known.
func (f *Fold) admit(offset uint64, b *schema.Batch) bool {
	w := f.writers[b.GetWriter()]
	if w == nil {
		hello := firstHello(b)
		if hello == nil || b.GetSeq() != 1 {
			f.stats.Unregistered++
			return false
		}
		w = &Writer{
			ID: b.GetWriter(), JoinedAt: offset,
			Name: hello.GetName(), Zone: hello.GetZone(), PeerAddr: hello.GetPeerAddr(),
		}
		f.writers[w.ID] = w
	}
	if b.GetSeq() <= w.Seq {
		f.stats.Duplicates++
		return false
	}
	if w.silent(f.clock) {
		w.JoinedAt = offset // others may have counted it as gone
	}
	w.Seq, w.LastSeen = b.GetSeq(), f.clock
	return true
}

// silent reports whether the writer counts as gone until its next batch.
func (w *Writer) silent(clock time.Time) bool {
	return !w.LastSeen.IsZero() && clock.Sub(w.LastSeen) > EntryTimeout
}

// firstHello returns the Hello in the first record of a batch, or nil.
func firstHello(b *schema.Batch) *schema.Hello {
	if len(b.GetRecords()) == 0 {
		return nil
	}
	return b.GetRecords()[0].GetHello()
}

// Entries returns the writers that have not left and wrote within EntryTimeout, by
// id.
func (f *Fold) Entries() []Writer {
	var entries []Writer
	for _, w := range f.writers {
		if !w.Left && !w.silent(f.clock) {
			entries = append(entries, *w)
		}
	}
	slices.SortFunc(entries, func(a, b Writer) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

// Writer returns the writer with an id and whether there is one.
func (f *Fold) Writer(id string) (Writer, bool) {
	w := f.writers[id]
	if w == nil {
		return Writer{}, false
	}
	return *w, true
}
