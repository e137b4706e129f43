package leader

import (
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// SnapshotInterval spaces the snapshots of the state in the log.
	SnapshotInterval = 10 * time.Minute
	// partSize bounds one part, in bytes.
	partSize = 32 << 10
	// partEvery spaces the parts, so that a snapshot does not crowd out work.
	partEvery = 250 * time.Millisecond
)

// snapshotter writes the state to the log before the records it came from age
// out. The state is encoded once, at one offset, so that all parts agree.
type snapshotter struct {
	id     uint64
	base   uint64
	data   []byte
	parts  uint32
	sent   uint32
	nextAt time.Time
}

// tickSnapshot continues the snapshot under way or begins the next. Only the
// leader of the first cell writes snapshots; they cover all cells.
func (l *Leader) tickSnapshot(now time.Time) {
	s := &l.snapshot
	if s.nextAt.IsZero() {
		s.nextAt = now.Add(l.snapshotEvery)
	}
	if now.Before(s.nextAt) || !l.fold.IsFirstCell(l.cell) {
		return
	}
	if s.data == nil {
		l.beginSnapshot()
	}
	if s.sent < s.parts {
		from := int(s.sent) * partSize
		l.propose(now, &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{
			Id: s.id, Part: s.sent, Data: s.data[from:min(from+partSize, len(s.data))],
		}}})
		s.sent++
		s.nextAt = now.Add(partEvery)
		return
	}
	l.propose(now, &schema.Record{Body: &schema.Record_Mark{Mark: &schema.SnapshotMark{
		Id: s.id, Parts: s.parts, Base: s.base, Crc: crc32.ChecksumIEEE(s.data),
	}}})
	l.stats.Snapshots++
	*s = snapshotter{nextAt: now.Add(l.snapshotEvery)}
}

func (l *Leader) beginSnapshot() {
	s := &l.snapshot
	state := l.fold.Encode()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		l.log.Error("cannot encode the state", "err", err)
		return
	}
	s.data, s.base = data, state.GetOffset()
	s.id = state.GetOffset()
	s.parts = uint32((len(data) + partSize - 1) / partSize)
}
