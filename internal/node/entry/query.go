package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
)

func (e *Entry) listJobs(w http.ResponseWriter, r *http.Request) {
	if err := e.readBarrier(r.Context()); err != nil {
		e.reject(w, err)
		return
	}
	if err := e.reserve(r.Context(), func() int64 { return int64(len(e.core.Fold().Jobs(mux.Vars(r)["team"]))) * jobViewMemory }); err != nil {
		e.reject(w, err)
		return
	}
	e.mu.Lock()
	views := []view.Job{}
	for _, j := range e.core.Fold().Jobs(mux.Vars(r)["team"]) {
		views = append(views, viewJob(j, false))
	}
	e.mu.Unlock()
	admin.WriteJSON(w, http.StatusOK, struct {
		Jobs []view.Job `json:"jobs"`
	}{views})
}

// What a job and a task take in a response while it is encoded, in bytes.
const jobViewMemory, taskViewMemory = 2 << 10, 1 << 10

// reserve counts the memory of a response, which size tells in bytes, for a request. size is called
// with mu held.
func (e *Entry) reserve(ctx context.Context, size func() int64) error {
	e.mu.Lock()
	n := size()
	e.mu.Unlock()
	return intake.ReserveResponse(ctx, n)
}

func (e *Entry) getJob(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	if err := e.reserve(r.Context(), func() int64 { return e.jobViewSize(vars["job"]) }); err != nil {
		e.reject(w, err)
		return
	}
	found, err := e.findJob(r.Context(), vars["team"], vars["job"])
	if err != nil {
		e.reject(w, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, found)
}

// jobViewSize returns what a job takes in a response, in bytes. The caller holds mu.
func (e *Entry) jobViewSize(id string) int64 {
	j := e.core.Fold().Job(id)
	if j == nil {
		return 0
	}
	return jobViewMemory + int64(len(j.Tasks))*taskViewMemory
}

// findJob returns a job of a team. A job that has ended changes no more, so it is
// returned without a read barrier; any other answer needs one.
func (e *Entry) findJob(ctx context.Context, team, id string) (view.Job, error) {
	if !e.jobEnded(id) {
		if err := e.readBarrier(ctx); err != nil {
			return view.Job{}, err
		}
	}
	return e.lookupJob(team, id)
}

// jobEnded reports whether a job has ended that the log still has.
func (e *Entry) jobEnded(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.core.Fold().Job(id)
	return j != nil && !j.Ended.IsZero() && e.core.Keeps(time.Now(), j)
}

// lookupJob returns a job of a team from the state, as far as the log has been read.
func (e *Entry) lookupJob(team, id string) (view.Job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.core.Fold().Job(id)
	if j == nil || j.Service || j.Team != team {
		return view.Job{}, codes.New(codes.JobNotFound, "team %q has no job %q", team, id)
	}
	return viewJob(j, true), nil
}

// viewJob returns a job as callers see it, with its individual tasks if tasks is
// set.
func viewJob(j *fold.Job, tasks bool) view.Job {
	v := view.Job{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Key: j.Key, Urgent: j.Urgent, Cancelled: j.Cancelled,
		Accepted: j.Accepted, Tasks: j.Count, Counts: map[string]int{},
	}
	if !j.Ended.IsZero() {
		ended := j.Ended
		v.Ended = &ended
	}
	if j.Tasks == nil {
		v.Counts[fold.Completed.String()] = int(j.Done)
	}
	for _, t := range j.Tasks {
		v.Counts[t.State.String()]++
		if tasks {
			v.List = append(v.List, view.Task{
				Index: t.Index, State: t.State.String(), Attempt: t.Epoch, VM: t.VM, Failures: t.Failures,
				Evictions: t.Evictions, FailedOn: slices.Clone(t.FailedOn), Reason: t.Reason,
			})
		}
	}
	return v
}
