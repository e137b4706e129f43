package port

// StopMode determines what happens to the work of an attempt that is stopped.
type StopMode uint32

// The modes.
const (
	// Discard deletes the attempt's work, including the output of a finished attempt.
	Discard StopMode = iota
	// Checkpoint saves the progress of a running attempt and returns a token for it.
	Checkpoint
	// Confirm keeps the output of a finished attempt as the result of its task.
	Confirm
)
