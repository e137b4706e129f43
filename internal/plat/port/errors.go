package port

import "errors"

// Errors of Worker. ErrNotStarted means that a request certainly did not run,
// ErrRefused that the worker will never start an attempt, and ErrEnded that an attempt
// finished or failed before it could be checkpointed.
var (
	ErrNotStarted = errors.New("not started")
	ErrRefused    = errors.New("attempt refused")
	ErrEnded      = errors.New("attempt has ended")
)
