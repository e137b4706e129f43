package msgs

// RunRef identifies a run by its task's name and its number.
type RunRef struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
}

// Unproven accompanies a LeaseRequest that lists the runs of a VM. It holds those of them
// that have not been seen to run for long enough to rule out that they crash the worker.
type Unproven struct {
	_    struct{} `cbor:",toarray"`
	Runs []RunRef
}

// Crash is the end of a worker's incarnation that its agent witnessed, although the worker
// was neither draining nor out of reach. The agent sends it with each LeaseRequest until
// CrashesStored confirms it.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Number increases with each crash that one process of the agent witnesses.
	Number      uint64
	VM          string
	Incarnation int64
	// Runs holds the runs that may have caused the crash: those that were unproven.
	Runs []RunRef
	// Unanswered holds further runs that may have caused it, if they had started at all: the
	// connections of the calls to start them ended without a response.
	Unanswered []RunRef
}

// CrashesStored tells the agent that the crashes up to Number are in the store.
type CrashesStored struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}
