package entry

import (
	"bytes"
	"context"
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

// submission is a caller's request to accept a job.
type submission struct {
	team, key string
	spec      view.JobSpec
	// hash shows later whether the key was used again for another job.
	hash []byte
}

func (s *submission) job() string { return ident.BatchJob(s.team, s.key) }

func (e *Entry) submitJob(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	s, err := parseSubmission(w, r)
	if err == nil {
		err = e.accept(r.Context(), s)
	}
	if err != nil {
		e.reject(w, err)
		return
	}
	w.Header().Set("Location", "/v1/teams/"+s.team+"/jobs/"+s.job())
	admin.WriteJSON(w, http.StatusAccepted, struct {
		ID string `json:"id"`
	}{s.job()})
}

func parseSubmission(w http.ResponseWriter, r *http.Request) (*submission, error) {
	s := &submission{team: mux.Vars(r)["team"], key: r.Header.Get(headerKey)}
	if s.key == "" || len(s.key) > maxKeyBytes {
		return nil, codes.New(codes.BadRequest, "%s: want between 1 and %d bytes", headerKey, maxKeyBytes)
	}
	if err := decodeBody(w, r, &s.spec); err != nil {
		return nil, err
	}
	canonical, err := json.Marshal(&s.spec)
	if err != nil {
		return nil, codes.Wrap(err, codes.JobInvalid, "input is not valid")
	}
	hash := sha256.Sum256(canonical)
	s.hash = hash[:16]
	return s, nil
}

// accept returns nil once the job is in the log. A job that is there already was
// accepted, whatever the configuration says now; only a new one is checked against the
// configuration, after a read barrier.
func (e *Entry) accept(ctx context.Context, s *submission) error {
	if !e.keepsJob(s.job()) {
		if err := e.mayCommit(); err != nil {
			return err
		}
		if err := e.readBarrier(ctx); err != nil {
			return err
		}
	}
	if known, err := e.knowsJob(s); known {
		return err
	}
	record, err := e.jobRecord(s)
	if err != nil {
		return err
	}
	_, err = e.commit(record)
	return err
}

// keepsJob reports whether the log certainly has a job with the id.
func (e *Entry) keepsJob(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.core.Fold().Job(id)
	return j != nil && e.core.Keeps(time.Now(), j)
}

// knowsJob reports whether the state has a job with the submission's key. It returns an
// error if that is another job.
func (e *Entry) knowsJob(s *submission) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.core.Fold().Job(s.job())
	if j == nil {
		return false, nil
	}
	if !bytes.Equal(j.Hash, s.hash) {
		return true, codes.New(codes.KeyConflict, "%s", codes.KeyConflict.Info().Meaning)
	}
	return true, nil
}

// jobRecord returns the record that submits the job, or an error if the job does not
// fit the configuration.
func (e *Entry) jobRecord(s *submission) (*schema.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.core.Fold().Team(s.team)
	if t == nil || t.Deleted {
		return nil, codes.New(codes.UnknownTeam, "no configuration is in force for team %q", s.team)
	}
	kind, ok := t.Config.Batch[s.spec.Kind]
	if !ok {
		return nil, codes.New(codes.JobInvalid, "team %q has no batch kind %q", s.team, s.spec.Kind)
	}
	jobAccept, err := s.jobAccept(&kind)
	if err != nil {
		return nil, err
	}
	if err := e.checkTaskFits(t.Config.CellName(), jobAccept.Size); err != nil {
		return nil, err
	}
	want := fold.JobMemory(len(jobAccept.Input), int(jobAccept.Tasks))
	if have := e.core.Fold().JobMemory(); have+want > int64(e.cfg.JobMemory)<<20 {
		e.log.Info("no memory for a further job", "job", jobAccept.Job, "team", s.team, "jobMemory", have, "want", want)
		return nil, codes.WithRetryAfter(codes.New(codes.JobsFull, "the jobs that are kept take as much memory as they may"), fullRetryAfter)
	}
	return &schema.Record{Cell: t.Config.CellName(), Body: &schema.Record_Job{Job: jobAccept}}, nil
}

// jobAccept returns the body of the record that submits a job of the given kind.
func (s *submission) jobAccept(kind *teams.Kind) (*schema.JobAccept, error) {
	spec := &s.spec
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
	return &schema.JobAccept{
		Job: s.job(), Team: s.team, Key: s.key, BodyHash: s.hash, Kind: spec.Kind,
		Tasks: spec.Tasks, Size: kind.Size(), Urgent: kind.Urgent, MaxFailures: kind.FailureLimit(),
		WorkMs: uint32(work.Milliseconds()), Input: spec.Input,
	}, nil
}

// checkTaskFits returns an error if a task of the given size is larger than every
// known VM of the cell, but not if no VM of the cell is known. The caller holds mu.
func (e *Entry) checkTaskFits(cell string, size *schema.Size) error {
	vms := e.capacities(cell)
	if len(vms) == 0 || teams.FitsAny(size, vms) {
		return nil
	}
	if !e.core.KnowsVMs(time.Now()) {
		return vmsUnknownError()
	}
	return codes.New(codes.JobTooLarge, "a task of %d processors/1000, %d MB and %d accelerators fits on no VM of cell %q",
		size.GetCpuMilli(), size.GetMemoryMb(), size.GetAccelerators(), cell)
}

// capacities returns the capacities of the known VMs of a cell. The caller holds mu.
func (e *Entry) capacities(cell string) []*schema.Size {
	var vms []*schema.Size
	for _, m := range e.core.Members().Present() {
		if m.GetCell() == cell {
			vms = append(vms, m.GetCapacity())
		}
	}
	return vms
}

// vmsRetryAfter is the retry delay suggested to callers of an entry that may not know all
// VMs.
const vmsRetryAfter = time.Second

// fullRetryAfter is the retry delay suggested to callers for whose jobs there is no memory.
const fullRetryAfter = 5 * time.Second

// vmsUnknownError returns the error for what fits on no known VM while others may exist.
func vmsUnknownError() error {
	err := codes.New(codes.NotReady, "it fits on no VM that the entry knows, but it may not know all of them")
	return codes.WithRetryAfter(err, vmsRetryAfter)
}

// mayCommit returns an error if commit would refuse a record now.
func (e *Entry) mayCommit() error {
	if e.leaving.Load() {
		return codes.New(codes.Leaving, "the entry is shutting down")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.MayCommit(time.Now())
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
