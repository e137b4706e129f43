package soak

// Regression is a seed that failed once. Threads interleave differently each time, so
// that a seed that holds once proves little.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions are the seeds that ever failed, with their causes.
var Regressions = []Regression{
	{304, "a worker's new life carried out an order for its earlier one, and the leader placed the task again"},
	{301, "a look acknowledged ends of a worker's new life by the numbers of the earlier one, and one was lost"},
	{600, "as seed 301"},
	{703, "as seed 301"},
	{105, "an entry found its port taken by a connection of another soak on the machine"},
	{204, "as seed 105"},
}
