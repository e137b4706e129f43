// Package model describes jobs as their callers hand them in: steps of tasks
// with sizes, dependencies and constraints, and the queues that they come through.
//
// The types are what the scheduler keeps in the platform's store, so fields are
// only ever added at the end.
package model
