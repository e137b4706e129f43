// Package texts makes texts that are hard to carry: with characters that encodings have to take
// care of, and up to the longest that the platform allows.
package texts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

const (
	// MaxLen is the limit of a payload's and a checkpoint's length, in bytes.
	MaxLen = 4000
	// longTextShare is the fraction of texts that have the maximum length, usualText the limit
	// of the length of the others.
	longTextShare, usualText = 0.05, 60
	// escapedShare is the fraction of the characters of a payload that are escaped although they
	// need not be.
	escapedShare = 0.2
)

// unusual holds characters that encodings have to take care of: control characters, quotes,
// those that HTML and JavaScript treat specially, and the limits of each length in UTF-8.
var unusual = []rune("\x00\x01\b\t\n\f\r\x1b\"\\/'<>&\x7f\u0080\u07ff\u0800\u2028\u2029\ud7ff\ue000\ufeff\ufffd\uffff\U00010000\U0001f600\U0010ffff")

// Odd returns a text that begins with prefix and goes on with random characters, half of
// them unusual ones. It is at most MaxLen bytes long.
func Odd(rng *rand.Rand, prefix string) string {
	var b strings.Builder
	b.WriteString(prefix)
	n := len(prefix) + rng.IntN(usualText)
	if rng.Float64() < longTextShare {
		n = MaxLen
	}
	for b.Len() < n {
		r := rune(' ' + rng.IntN('~'-' '))
		if rng.IntN(2) == 0 {
			r = unusual[rng.IntN(len(unusual))]
		}
		if b.Len()+utf8.RuneLen(r) > n {
			r = '.'
		}
		b.WriteRune(r)
	}
	return b.String()
}

// Quote returns s as a JSON string in which some characters are escaped although they need not
// be.
func Quote(rng *rand.Rand, s string) []byte {
	b := []byte{'"'}
	for _, r := range s {
		switch {
		case r < ' ' || r == '"' || r == '\\' || rng.Float64() < escapedShare:
			b = appendEscaped(b, r)
		default:
			b = utf8.AppendRune(b, r)
		}
	}
	return append(b, '"')
}

// appendEscaped appends the JSON escape of a character, two of them beyond 16 bits.
func appendEscaped(b []byte, r rune) []byte {
	if r1, r2 := utf16.EncodeRune(r); r1 != utf8.RuneError {
		return fmt.Appendf(b, `\u%04x\u%04X`, r1, r2)
	}
	return fmt.Appendf(b, `\u%04x`, r)
}
