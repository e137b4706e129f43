package codes

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// valueKey is the type of the keys under which errors carry values.
type valueKey string

const (
	codeKey  valueKey = "code"
	retryKey valueKey = "retryAfter"
)

// New returns an error that carries code and a formatted message.
func New(code Code, format string, args ...any) error {
	return merry.New(fmt.Sprintf(format, args...),
		merry.NoCaptureStack(),
		merry.WithValue(codeKey, code),
		merry.WithHTTPCode(code.Info().Status))
}

// Wrap returns err with code and with message in front of its own. It returns nil if
// err is nil.
func Wrap(err error, code Code, message string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err,
		merry.NoCaptureStack(),
		merry.PrependMessage(message),
		merry.WithValue(codeKey, code),
		merry.WithHTTPCode(code.Info().Status))
}

// WithRetryAfter returns err with the time after which the caller may try again.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryKey, d))
}

// Of returns the code that err carries: OK for nil, Internal if it has none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	if code, ok := merry.Value(err, codeKey).(Code); ok {
		return code
	}
	return Internal
}

// RetryAfter returns the time after which the caller may try again, or 0.
func RetryAfter(err error) time.Duration {
	d, _ := merry.Value(err, retryKey).(time.Duration)
	return d
}
