// Package digest shortens texts in log lines, so that the lines of several processes show
// whether they have the same text without its content.
package digest

import (
	"fmt"
	"hash/crc32"
	"log/slog"
)

// Text is a text of which a log line holds only the size in bytes and the CRC-32 checksum, such
// as 5:3610a686.
type Text string

// LogValue implements slog.LogValuer. The checksum is computed only if the line is written.
func (t Text) LogValue() slog.Value {
	return slog.StringValue(fmt.Sprintf("%d:%08x", len(t), crc32.ChecksumIEEE([]byte(t))))
}
