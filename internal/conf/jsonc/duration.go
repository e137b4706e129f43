package jsonc

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration struct {
	time.Duration
}

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as \"250ms\", got %q", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalText formats d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Or returns d, or fallback if d is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d.Duration == 0 {
		return fallback
	}
	return d.Duration
}
