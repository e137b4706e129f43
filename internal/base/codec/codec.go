// Package codec encodes messages between the system's processes and stored records as
// CBOR. New fields of a struct that is encoded as an array must be added at its end.
package codec

import (
	"io"

	"github.com/fxamacker/cbor/v2"
)

var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes one value.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Encoder writes a sequence of values.
type Encoder = cbor.Encoder

// Decoder reads a sequence of values.
type Decoder = cbor.Decoder

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return encoding.NewEncoder(w) }

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return cbor.NewDecoder(r) }
