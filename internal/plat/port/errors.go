package port

import "errors"

// Errors of Worker. ErrNotStarted says that a request certainly did not run,
// ErrRefused that the worker will never start an attempt, ErrEnded that an attempt
// to be checkpointed finished or failed before.
var (
	ErrNotStarted = errors.New("not started")
	ErrRefused    = errors.New("attempt refused")
	ErrEnded      = errors.New("attempt has ended")
)
