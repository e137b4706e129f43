// Package model describes jobs as their callers submit them: steps of tasks
// with sizes, dependencies and constraints, and the queues that accept them.
//
// The scheduler keeps these types in the platform's store, where fields are
// identified by position. New fields are therefore only added at the end.
package model
