package jsonc

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a document.
type Fault struct {
	// File is the document's name as given to Decode.
	File string `json:"file"`
	// Line counts from 1; 0 means that no line fits.
	Line int `json:"line"`
	// Field is the path of the field, as in "services.registry.slots".
	Field string `json:"field"`
	// Reason says what is wrong and what is expected.
	Reason string `json:"reason"`
}

// String formats the fault as "file:line: field: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}

// Faults are all mistakes of one document, in order of appearance.
type Faults []Fault

// Error lists the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
