package lead

// Stats counts a leadership's decisions.
type Stats struct {
	Accepted, Refused, Cancelled   uint64
	Started, Preempted             uint64
	Done, Failed, Lost, OtherEnds  uint64
	Batches, Records, BytesWritten uint64
}

// Stats returns the counts so far.
func (l *Leader) Stats() Stats { return l.stats }
