package entry

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Limits of a submitted job.
const (
	// maxKeyBytes is the longest idempotency key, in bytes.
	maxKeyBytes = 200
	// maxInputBytes is the longest input of a job, in bytes.
	maxInputBytes = 64 << 10
)

func (e *Entry) submitJob(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	record, job, err := e.parseJob(w, r)
	if err == nil {
		_, err = e.commit(record)
	}
	if err != nil {
		e.reject(w, err)
		return
	}
	w.Header().Set("Location", "/v1/teams/"+mux.Vars(r)["team"]+"/jobs/"+job)
	admin.WriteJSON(w, http.StatusAccepted, struct {
		ID string `json:"id"`
	}{job})
}

// parseJob returns the record that submits the job in the request's body, and the
// job's id.
func (e *Entry) parseJob(w http.ResponseWriter, r *http.Request) (*schema.Record, string, error) {
	team, key := mux.Vars(r)["team"], r.Header.Get(headerKey)
	if key == "" || len(key) > maxKeyBytes {
		return nil, "", codes.New(codes.BadRequest, "%s: want between 1 and %d bytes", headerKey, maxKeyBytes)
	}
	var spec view.JobSpec
	if err := decodeBody(w, r, &spec); err != nil {
		return nil, "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.core.Fold().Team(team)
	if t == nil || t.Deleted {
		return nil, "", codes.New(codes.UnknownTeam, "no configuration is in force for team %q", team)
	}
	kind, ok := t.Config.Batch[spec.Kind]
	if !ok {
		return nil, "", codes.New(codes.JobInvalid, "team %q has no batch kind %q", team, spec.Kind)
	}
	jobAccept, err := jobAccept(&spec, team, key, &kind)
	if err != nil {
		return nil, "", err
	}
	if err := e.checkTaskFits(t.Config.CellName(), jobAccept.Size); err != nil {
		return nil, "", err
	}
	return &schema.Record{Cell: t.Config.CellName(), Body: &schema.Record_Job{Job: jobAccept}}, jobAccept.Job, nil
}

// jobAccept returns the body of the record that submits a job. The hash of the
// specification shows later whether a key was used again for another job.
func jobAccept(spec *view.JobSpec, team, key string, kind *teams.Kind) (*schema.JobAccept, error) {
	if spec.Tasks == 0 || spec.Tasks > fold.MaxTasks {
		return nil, codes.New(codes.JobInvalid, "tasks: want between 1 and %d, got %d", fold.MaxTasks, spec.Tasks)
	}
	if len(spec.Input) > maxInputBytes {
		return nil, codes.New(codes.JobInvalid, "input: want at most %d bytes", maxInputBytes)
	}
	work := kind.Work.Duration
	if spec.Work != "" {
		d, err := time.ParseDuration(spec.Work)
		if err != nil || d <= 0 {
			return nil, codes.New(codes.JobInvalid, "work: want a duration such as 2s, got %q", spec.Work)
		}
		work = d
	}
	canonical, err := json.Marshal(spec)
	if err != nil {
		return nil, codes.Wrap(err, codes.JobInvalid, "input is not valid")
	}
	hash := sha256.Sum256(canonical)
	return &schema.JobAccept{
		Job: ident.BatchJob(team, key), Team: team, Key: key, BodyHash: hash[:16], Kind: spec.Kind,
		Tasks: spec.Tasks, Size: kind.Size(), Urgent: kind.Urgent, MaxFailures: kind.FailureLimit(),
		WorkMs: uint32(work.Milliseconds()), Input: spec.Input,
	}, nil
}

// checkTaskFits returns an error if a task of the given size is larger than every
// known VM of the cell, but not if no VM of the cell is known. The caller holds mu.
func (e *Entry) checkTaskFits(cell string, size *schema.Size) error {
	var vms []*schema.Size
	for _, m := range e.core.Members().Present() {
		if m.GetCell() == cell {
			vms = append(vms, m.GetCapacity())
		}
	}
	if len(vms) == 0 || teams.FitsAny(size, vms) {
		return nil
	}
	return codes.New(codes.JobTooLarge, "a task of %d processors/1000, %d MB and %d accelerators fits on no VM of cell %q",
		size.GetCpuMilli(), size.GetMemoryMb(), size.GetAccelerators(), cell)
}

// commit appends a record to the log and waits until the record is read back from
// it. The code of the error says whether the record may still take effect.
func (e *Entry) commit(record *schema.Record) (core.CommitResult, error) {
	if e.leaving.Load() {
		return core.CommitResult{}, codes.New(codes.Leaving, "the entry is shutting down")
	}
	resultCh := make(chan core.CommitResult, 1)
	e.mu.Lock()
	id, err := e.core.Commit(time.Now(), record)
	if err == nil {
		e.pendingCommits[id] = resultCh
	}
	e.mu.Unlock()
	if err != nil {
		return core.CommitResult{}, err
	}
	wake(e.wakeAppend)
	select {
	case result := <-resultCh:
		return result, result.Err
	case <-e.ctx.Done():
		return core.CommitResult{}, codes.New(codes.FateUnknown, "the entry stopped; ask again with the same key")
	}
}

// cancelJob cancels a job and shows it afterwards. The record was read back, so the
// state includes the cancellation.
func (e *Entry) cancelJob(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	_, err := e.commit(&schema.Record{Body: &schema.Record_Cancel{
		Cancel: &schema.JobCancel{Job: vars["job"], Team: vars["team"]},
	}})
	var cancelled view.Job
	if err == nil {
		cancelled, err = e.lookupJob(vars["team"], vars["job"])
	}
	if err != nil {
		e.reject(w, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, cancelled)
}
