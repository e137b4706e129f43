package leader

import (
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// SnapshotInterval is the default time between two snapshots of the state.
	SnapshotInterval = 10 * time.Minute
	// maxPartSize is the largest size of one part, in bytes.
	maxPartSize = 32 << 10
	// partInterval is the time between two parts, which keeps a snapshot from
	// delaying other records.
	partInterval = 250 * time.Millisecond
)

// snapshotter writes the state to the log before the log deletes the records that
// it was built from. The state is encoded once, so that all parts belong to the
// state at the same offset.
type snapshotter struct {
	// id identifies the snapshot; it equals base.
	id uint64
	// base is the log offset that the snapshot covers.
	base uint64
	// data is the encoded state; nil means that no snapshot is in progress.
	data []byte
	// parts is the number of parts, sent how many of them were proposed.
	parts uint32
	sent  uint32
	// nextAt is when the next part or the next snapshot is due.
	nextAt time.Time
}

// tickSnapshot continues the snapshot in progress or begins the next one. Only the
// leader of the first cell writes snapshots; they cover all cells.
func (l *Leader) tickSnapshot(now time.Time) {
	s := &l.snapshot
	if s.nextAt.IsZero() {
		s.nextAt = now.Add(l.snapshotInterval)
	}
	if now.Before(s.nextAt) || !l.fold.IsFirstCell(l.cell) {
		return
	}
	if s.data == nil && !l.beginSnapshot() {
		s.nextAt = now.Add(l.snapshotInterval)
		return
	}
	if s.sent < s.parts {
		from := int(s.sent) * maxPartSize
		l.propose(now, &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{
			Id: s.id, Part: s.sent, Data: s.data[from:min(from+maxPartSize, len(s.data))],
		}}})
		s.sent++
		s.nextAt = now.Add(partInterval)
		return
	}
	l.propose(now, &schema.Record{Body: &schema.Record_Mark{Mark: &schema.SnapshotMark{
		Id: s.id, Parts: s.parts, Base: s.base, Crc: crc32.ChecksumIEEE(s.data),
	}}})
	l.stats.Snapshots++
	*s = snapshotter{nextAt: now.Add(l.snapshotInterval)}
}

// beginSnapshot encodes the state and splits it into parts. It returns false if the state
// cannot be encoded.
func (l *Leader) beginSnapshot() bool {
	s := &l.snapshot
	state := l.fold.Encode()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		l.log.Error("cannot encode the snapshot", "err", err)
		return false
	}
	s.data, s.base = data, state.GetOffset()
	s.id = state.GetOffset()
	s.parts = uint32((len(data) + maxPartSize - 1) / maxPartSize)
	return true
}
