package jsonc

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a document.
type Fault struct {
	// File is the document's name as given to Decode.
	File string `json:"file"`
	// Line counts from 1; 0 means that the fault has no line.
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

// Faults are the mistakes in one document, sorted by line.
type Faults []Fault

// Error lists the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, or nil if it is empty.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
