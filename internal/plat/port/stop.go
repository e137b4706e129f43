package port

// StopMode says what becomes of an attempt that is stopped.
type StopMode uint32

// The modes.
const (
	// Discard throws away what the attempt did, its output too if it finished.
	Discard StopMode = iota
	// Checkpoint keeps what a running attempt did, as a token.
	Checkpoint
	// Confirm says that the finished attempt is the one whose output counts.
	Confirm
)
