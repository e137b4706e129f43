// Package frame encodes batches of records as log entries. Decoding refuses log
// entries that are corrupt, were written by another system or have a newer format version.
package frame

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Version is the format version of the batches that this program writes.
const Version = 1

const (
	magic      = 0xEB0A // first two bytes of each log entry
	headerSize = 6      // in bytes: magic number 2, checksum 4
)

// The errors of Decode.
var (
	ErrForeign      = errors.New("log entry was not written by this system")
	ErrCorrupt      = errors.New("log entry is corrupt")
	ErrNewerVersion = errors.New("log entry has a newer format version")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the log entry of a batch and sets the batch's version.
func Encode(b *schema.Batch) []byte {
	b.Version = Version
	buf := make([]byte, headerSize, headerSize+proto.Size(b))
	buf, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, b)
	if err != nil {
		// Marshal fails only on invalid UTF-8, which the checks of settings and
		// requests exclude.
		panic("frame: " + err.Error())
	}
	binary.BigEndian.PutUint16(buf, magic)
	binary.BigEndian.PutUint32(buf[2:], crc32.Checksum(buf[headerSize:], crcTable))
	return buf
}

// Decode returns the batch in a log entry, or ErrForeign, ErrCorrupt or
// ErrNewerVersion.
func Decode(data []byte) (*schema.Batch, error) {
	if len(data) < headerSize || binary.BigEndian.Uint16(data) != magic {
		return nil, ErrForeign
	}
	if binary.BigEndian.Uint32(data[2:]) != crc32.Checksum(data[headerSize:], crcTable) {
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
