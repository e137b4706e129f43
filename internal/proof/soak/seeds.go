package soak

// Regression is a seed that has failed before. Threads interleave differently in each run, so
// one pass of a seed proves little.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions lists the seeds that have failed before and the cause of each failure.
var Regressions = []Regression{
	{304, "a worker's new incarnation carried out an order for the earlier one, and the leader placed the task again"},
	{301, "a poll acknowledged run ends of a worker's new incarnation by the numbers of the earlier one, and one end was lost"},
	{600, "as seed 301"},
	{703, "as seed 301"},
	{105, "an entry could not listen, because a connection of another soak on the machine used its port"},
	{204, "as seed 105"},
	{303, "a leader that woke from a pause said that it did not know a job that its successor had accepted, and the job ran on"},
}
