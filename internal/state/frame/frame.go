// Package frame encodes batches of records for the log and refuses what is
// torn or was not written by this system.
package frame

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Version is the version of the records that this program writes.
const Version = 1

const (
	magic      = 0xEB0A
	headerSize = 6 // bytes: magic 2, checksum 4
)

// The errors of Decode.
var (
	ErrForeign      = errors.New("record of another system")
	ErrCorrupt      = errors.New("record is torn")
	ErrNewerVersion = errors.New("record of a newer version")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the bytes of one log entry.
func Encode(b *schema.Batch) []byte {
	b.Version = Version
	buf := make([]byte, headerSize, headerSize+proto.Size(b))
	buf, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, b)
	if err != nil {
		panic("frame: " + err.Error()) // only invalid UTF-8, which settings and requests exclude
	}
	binary.BigEndian.PutUint16(buf, magic)
	binary.BigEndian.PutUint32(buf[2:], crc32.Checksum(buf[headerSize:], table))
	return buf
}

// Decode returns the batch in data, or ErrAlien, ErrTorn or ErrVersion.
func Decode(data []byte) (*schema.Batch, error) {
	if len(data) < headerSize || binary.BigEndian.Uint16(data) != magic {
		return nil, ErrForeign
	}
	if binary.BigEndian.Uint32(data[2:]) != crc32.Checksum(data[headerSize:], table) {
		return nil, ErrCorrupt
	}
	b := &schema.Batch{}
	if err := proto.Unmarshal(data[headerSize:], b); err != nil {
		return nil, ErrCorrupt
	}
	if b.GetVersion() > Version {
		return nil, ErrNewerVersion
	}
	return b, nil
}
