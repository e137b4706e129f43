package model

import "encoding/hex"

// idLength is the number of hexadecimal digits in a job's id.
const idLength = 16

// ID identifies a job. The caller chooses it.
type ID string

// Valid reports whether id consists of 16 hexadecimal digits.
func (id ID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	_, err := hex.DecodeString(string(id))
	return err == nil
}
