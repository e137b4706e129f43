package jsonc

import (
	"fmt"
	"strconv"
	"strings"
)

// Memory is an amount of memory in megabytes of 2^20 bytes. It is written with a
// unit, as in "4GB" or "512MB".
type Memory uint32

// memoryUnits lists the units with their sizes in megabytes.
var memoryUnits = []struct {
	suffix string
	mb     float64
}{{"TB", 1 << 20}, {"GB", 1 << 10}, {"MB", 1}}

// UnmarshalText parses a number with the unit MB, GB or TB. A fraction of a megabyte is
// discarded.
func (m *Memory) UnmarshalText(text []byte) error {
	for _, unit := range memoryUnits {
		number, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		mb := n * unit.mb
		if err != nil || !(mb >= 0 && mb <= 1<<31) { // not a number fails both comparisons
			break
		}
		*m = Memory(mb)
		return nil
	}
	return fmt.Errorf("want an amount such as \"512MB\" or \"4GB\", got %q", text)
}

// MarshalText formats m in megabytes.
func (m Memory) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%dMB", uint32(m)), nil }
