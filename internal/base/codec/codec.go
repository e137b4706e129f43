// Package codec encodes messages between the system's processes and stored records as
// CBOR. New fields of a struct that is encoded as an array must be added at its end.
package codec

import (
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// decoding refuses what Marshal never produces. In particular, the library panics on some
// arrays of indefinite length.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes one value.
func Unmarshal(data []byte, v any) (err error) {
	defer recoverInto(&err)
	return decoding.Unmarshal(data, v)
}

// recoverInto turns a panic of the library into an error: the bytes may come from anyone, and
// one odd record must not end each process that reads it.
func recoverInto(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("decoder panicked: %v", p)
	}
}

// UnmarshalArray decodes a value of a struct type that is encoded as an array. The array may be
// shorter than the struct, because an earlier version encoded it: the fields at the end that it
// lacks get their zero values. v must be a pointer to a type that does not call UnmarshalArray
// itself, such as one that is defined as the caller's.
func UnmarshalArray(data []byte, v any) error {
	err := Unmarshal(data, v)
	if typeErr := (*cbor.UnmarshalTypeError)(nil); !errors.As(err, &typeErr) {
		return err
	}
	var fields []cbor.RawMessage
	if Unmarshal(data, &fields) != nil {
		return err
	}
	for want := reflect.TypeOf(v).Elem().NumField() - 1; len(fields) < want; { // the first one holds the tag
		fields = append(fields, null)
	}
	longer, encodeErr := encoding.Marshal(fields)
	if encodeErr != nil {
		return err
	}
	return Unmarshal(longer, v)
}

// null is the encoding of an absent value.
var null = cbor.RawMessage{0xf6}

// Encoder writes a sequence of values.
type Encoder = cbor.Encoder

// Decoder reads a sequence of values.
type Decoder struct{ dec *cbor.Decoder }

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return encoding.NewEncoder(w) }

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{decoding.NewDecoder(r)} }

// Decode decodes the next value. No further one can be decoded after an error.
func (d *Decoder) Decode(v any) (err error) {
	defer recoverInto(&err)
	return d.dec.Decode(v)
}
