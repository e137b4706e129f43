package fold

import (
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// window remembers where the latest complete snapshot in the log is based.
type window struct {
	// base is the offset up to which the snapshot covers the log; 0 means none.
	base uint64
	// markedAt is the offset of its mark.
	markedAt uint64
}

func (w *window) part(*schema.SnapshotPart) {}

func (w *window) mark(offset uint64, m *schema.SnapshotMark) {
	w.base, w.markedAt = m.GetBase(), offset
}

// SnapshotBase returns the offset that the latest complete snapshot in the log
// covers; records before it may age out.
func (f *Fold) SnapshotBase() uint64 { return f.snapshots.base }

// SnapshotLoader assembles the state from a retained part of the log that no longer
// starts at the first record. Its zero value is ready for use.
type SnapshotLoader struct {
	parts map[uint64]map[uint32][]byte
	// state is the latest complete snapshot seen, nil if none.
	state *schema.State
}

// Scan looks at one log entry for parts of snapshots. Parts are trusted without
// a check of terms: the checksum in the mark covers all of them.
func (l *SnapshotLoader) Scan(batch *schema.Batch) {
	if l.parts == nil {
		l.parts = map[uint64]map[uint32][]byte{}
	}
	for _, r := range batch.GetRecords() {
		if p := r.GetPart(); p != nil {
			if l.parts[p.GetId()] == nil {
				l.parts[p.GetId()] = map[uint32][]byte{}
			}
			l.parts[p.GetId()][p.GetPart()] = p.GetData()
		}
		if m := r.GetMark(); m != nil {
			l.complete(m)
		}
	}
}

func (l *SnapshotLoader) complete(m *schema.SnapshotMark) {
	parts := l.parts[m.GetId()]
	delete(l.parts, m.GetId())
	var data []byte
	for i := range m.GetParts() {
		part, ok := parts[i]
		if !ok {
			return
		}
		data = append(data, part...)
	}
	state := &schema.State{}
	if crc32.ChecksumIEEE(data) != m.GetCrc() || proto.Unmarshal(data, state) != nil {
		return
	}
	l.state = state
}

// State returns the latest complete snapshot, or nil.
func (l *SnapshotLoader) State() *schema.State { return l.state }
