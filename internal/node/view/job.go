// Package view holds what an entry shows to callers and operators, in the form of
// its JSON answers.
package view

import (
	"encoding/json"
	"time"
)

// JobSpec is the body of a submission.
type JobSpec struct {
	Kind  string `json:"kind"`
	Tasks uint32 `json:"tasks"`
	// Input is handed to every task.
	Input json.RawMessage `json:"input,omitempty"`
	// Work overrides the kind's expected run time of one task.
	Work string `json:"work,omitempty"`
}

// Job is a job as callers see it.
type Job struct {
	ID        string         `json:"id"`
	Team      string         `json:"team"`
	Kind      string         `json:"kind"`
	Key       string         `json:"key"`
	Urgent    bool           `json:"urgent"`
	Cancelled bool           `json:"cancelled"`
	Accepted  time.Time      `json:"accepted"`
	Ended     *time.Time     `json:"ended,omitempty"`
	Tasks     uint32         `json:"tasks"`
	Counts    map[string]int `json:"counts"`
	List      []Task         `json:"list,omitempty"`
}

// Task is a task as callers see it.
type Task struct {
	Index     uint32   `json:"index"`
	State     string   `json:"state"`
	Attempt   uint32   `json:"attempt"`
	VM        string   `json:"vm,omitempty"`
	Failures  uint32   `json:"failures,omitempty"`
	Evictions uint32   `json:"evictions,omitempty"`
	FailedOn  []string `json:"failedOn,omitempty"`
	Reason    string   `json:"reason,omitempty"`
}
