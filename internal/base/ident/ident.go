// Package ident defines identifiers of jobs, tasks and attempts that several packages
// share.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Task identifies a task: one unit of a job, or one replica of a service.
type Task struct {
	Job   string
	Index uint32
}

// String returns the job and the index, as in "job/7".
func (t Task) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// Attempt identifies one execution of a task. Later attempts of a task have higher
// epochs.
type Attempt struct {
	Task
	Epoch uint32
}

// AttemptOf converts an attempt from its wire format.
func AttemptOf(ref *schema.TaskRef) Attempt {
	return Attempt{Task{ref.GetJob(), ref.GetIndex()}, ref.GetEpoch()}
}

// Ref converts a to its wire format.
func (a Attempt) Ref() *schema.TaskRef {
	return &schema.TaskRef{Job: a.Job, Index: a.Index, Epoch: a.Epoch}
}

// Compare orders attempts by job, index and epoch.
func (a Attempt) Compare(b Attempt) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Index != b.Index {
		return int(a.Index) - int(b.Index)
	}
	return int(a.Epoch) - int(b.Epoch)
}

// servicePrefix distinguishes the jobs of services from batch jobs, whose ids are
// hexadecimal.
const servicePrefix = "service:"

// ServiceJob returns the job whose tasks are the replicas of a team's service.
func ServiceJob(team, service string) string {
	return servicePrefix + team + "/" + service
}

// ServiceOf returns the team and service of a job that ServiceJob returned. ok is false
// for a batch job.
func ServiceOf(job string) (team, service string, ok bool) {
	rest, ok := strings.CutPrefix(job, servicePrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// jobHashBytes is the length of a batch job's id before it is written as hexadecimal
// digits.
const jobHashBytes = 10

// BatchJob returns the id of the job that a team submits under an idempotency key.
// The id depends only on these two, so that all entries derive the same id for a
// repeated submission.
func BatchJob(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return hex.EncodeToString(sum[:jobHashBytes])
}
