package fold_test

import (
	"encoding/binary"
	"hash/crc32"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/state/fold"
)

// withHeader adds the header of a log entry to body, so that the checksum is valid.
func withHeader(body []byte) []byte {
	data := make([]byte, 6, 6+len(body))
	binary.BigEndian.PutUint16(data, 0xEB0A)
	binary.BigEndian.PutUint32(data[2:], crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(data, body...)
}

// FuzzApply applies arbitrary bytes with a valid header after a valid log. Nothing may
// panic, and a snapshot of the state must decode to the same state.
func FuzzApply(f *testing.F) {
	log, id := newLogWithJob()
	log.appendBatch("w1", grant(1, "vm", id, 0, 1))
	log.appendBatch("w1", result(1, "vm", id, 0, 1, 1))
	for _, data := range log.entries {
		f.Add(data[6:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		log, _ := newLogWithJob()
		log.appendEntry(withHeader(body))
		state := log.fold.Encode()
		if !proto.Equal(fold.Decode(state).Encode(), state) {
			t.Fatal("the state differs after encoding and decoding")
		}
	})
}
