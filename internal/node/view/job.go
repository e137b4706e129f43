// Package view defines the JSON bodies that an entry exchanges with callers and
// operators.
package view

import (
	"encoding/json"
	"time"
)

// JobSpec is the body of a request that submits a job.
type JobSpec struct {
	Kind  string `json:"kind"`
	Tasks uint32 `json:"tasks"`
	// Input is passed to every task.
	Input json.RawMessage `json:"input,omitempty"`
	// Work is the expected run time of one task, as a Go duration. Empty means the
	// run time that is configured for the kind.
	Work string `json:"work,omitempty"`
}

// Job is a job as callers see it.
type Job struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	Kind      string     `json:"kind"`
	Key       string     `json:"key"`
	Urgent    bool       `json:"urgent"`
	Cancelled bool       `json:"cancelled"`
	Accepted  time.Time  `json:"accepted"`
	Ended     *time.Time `json:"ended,omitempty"`
	// Tasks is the number of tasks, and Counts the number of tasks in each state.
	Tasks  uint32         `json:"tasks"`
	Counts map[string]int `json:"counts"`
	// List holds the individual tasks. It is omitted in a list of jobs, and for a job
	// whose tasks are no longer kept.
	List []Task `json:"list,omitempty"`
}

// Task is a task as callers see it.
type Task struct {
	Index uint32 `json:"index"`
	State string `json:"state"`
	// Attempt is the number of the latest attempt.
	Attempt   uint32   `json:"attempt"`
	VM        string   `json:"vm,omitempty"`
	Failures  uint32   `json:"failures,omitempty"`
	Evictions uint32   `json:"evictions,omitempty"`
	FailedOn  []string `json:"failedOn,omitempty"`
	Reason    string   `json:"reason,omitempty"`
}
