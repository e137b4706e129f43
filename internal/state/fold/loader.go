package fold

import (
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// snapshotPosition is the position of the latest complete snapshot in the log.
type snapshotPosition struct {
	// base is the offset of the first log entry that the snapshot does not cover; 0
	// means that there is no snapshot.
	base uint64
	// markedAt is the offset of the batch with the mark that completes the snapshot.
	markedAt uint64
}

// part ignores a part of a snapshot, since only the mark completes the snapshot.
func (p *snapshotPosition) part(*schema.SnapshotPart) {}

// mark records the position of the snapshot that a mark at offset completes.
func (p *snapshotPosition) mark(offset uint64, m *schema.SnapshotMark) {
	p.base, p.markedAt = m.GetBase(), offset
}

// SnapshotBase returns the offset of the first log entry that the latest complete
// snapshot does not cover. The log may delete earlier entries.
func (f *Fold) SnapshotBase() uint64 { return f.latestSnapshot.base }

// SnapshotLoader finds the latest complete snapshot in a log whose first entries
// were deleted. Its zero value is ready for use.
type SnapshotLoader struct {
	// parts holds the data of incomplete snapshots by snapshot id and part number.
	parts map[uint64]map[uint32][]byte
	// state is the latest complete snapshot seen, nil if none.
	state *schema.State
}

// Scan takes the snapshot parts and marks from one batch. It need not check the
// terms of these records: the checksum in the mark covers all parts.
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

// complete assembles the snapshot of a mark. It is skipped if a part is missing or
// the checksum differs.
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
