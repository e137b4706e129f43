// Package runner decides what one VM runs: it follows the leader's assignments
// under the VM's lease and has the last word on what the VM holds.
package runner

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/ledger"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// stopBefore is how long before its lease ends a VM begins to stop its batch
	// attempts, so that they have stopped when it ends.
	stopBefore = time.Second
	// CheckpointInterval spaces the checkpoints of one attempt that reach the log.
	CheckpointInterval = 5 * time.Minute
)

// Runner is the state of one VM's attempts. Make it with New. It is not safe
// for concurrent use.
type Runner struct {
	ledger *ledger.Ledger
	// term is the highest term seen; replies of lower ones are ignored.
	term uint64
	// leaseUntil ends the right to run batch attempts.
	leaseUntil time.Time
	assigned   []*schema.Assignment
	hash       uint64
	// listed is set once the worker said what it runs; nothing starts before.
	listed   bool
	listedAt time.Time
	leaving  bool
	attempts map[ident.Attempt]*attempt
	// results holds the ends of attempts until the leader acknowledges them.
	results map[ident.Attempt]*schema.Result
	stats   Stats
}

// Stats counts what happened to attempts on this VM.
type Stats struct {
	Started      uint64 `json:"started"`
	Completed    uint64 `json:"completed"`
	Failed       uint64 `json:"failed"`
	Evicted      uint64 `json:"evicted"`
	Refused      uint64 `json:"refused"`
	LeaseLapses  uint64 `json:"leaseLapses"`
	StaleReplies uint64 `json:"staleReplies"`
}

type attempt struct {
	assignment *schema.Assignment
	phase      schema.Phase
	// ended is set once the attempt has a result; it may still hold resources.
	ended bool
	// stop is why the attempt is being stopped.
	stop         stopReason
	asked        bool
	checkpoint   []byte
	reportedAt   time.Time
	speedPercent uint32
	sharePercent uint32
}

type stopReason uint8

const (
	keep stopReason = iota
	stopEvict
	stopDiscard
	stopConfirm
)

// New returns the runner of a VM.
func New(capacity *schema.Size) *Runner {
	return &Runner{
		ledger:   ledger.New(capacity),
		attempts: map[ident.Attempt]*attempt{},
		results:  map[ident.Attempt]*schema.Result{},
	}
}

// Stats returns counts of what happened so far.
func (r *Runner) Stats() Stats { return r.stats }

// Used returns what the attempts on the VM hold.
func (r *Runner) Used() *schema.Size { return r.ledger.Used() }

// Term returns the highest term seen.
func (r *Runner) Term() uint64 { return r.term }

// Lease returns how long batch attempts may go on.
func (r *Runner) Lease(now time.Time) time.Duration { return max(0, r.leaseUntil.Sub(now)) }

// Leave makes the VM give its attempts back and take no more.
func (r *Runner) Leave() { r.leaving = true }

// Idle reports whether the VM holds no batch attempt and owes no result.
func (r *Runner) Idle() bool {
	for _, a := range r.attempts {
		if !a.assignment.GetService() {
			return false
		}
	}
	return len(r.results) == 0
}

// Fill adds the state of the attempts to an announcement.
func (r *Runner) Fill(req *schema.BeatRequest) {
	req.TermSeen, req.GrantsHash, req.First = r.term, r.hash, r.assigned == nil
	for _, id := range r.sorted() {
		a := r.attempts[id]
		req.Attempts = append(req.Attempts, &schema.Attempt{Task: id.Ref(), Phase: a.phase})
		if !a.ended && a.speedPercent+a.sharePercent > 0 {
			req.Usage = append(req.Usage, &schema.Usage{
				Task: id.Ref(), SpeedPercent: a.speedPercent, SharePercent: a.sharePercent,
			})
		}
	}
	for _, id := range sortedKeys(r.results) {
		req.Results = append(req.Results, r.results[id])
	}
}

// Replicas returns the service replicas that run, for the announcement.
func (r *Runner) Replicas() []*schema.Replica {
	var replicas []*schema.Replica
	for _, a := range r.Services() {
		replicas = append(replicas, &schema.Replica{Team: a.GetTeam(), Service: a.GetKind(), Slots: a.GetSlots()})
	}
	return replicas
}

// Services returns the assignments of the service replicas that run.
func (r *Runner) Services() []*schema.Assignment {
	var services []*schema.Assignment
	for _, id := range r.sorted() {
		a := r.attempts[id]
		if a.assignment.GetService() && a.phase == schema.Phase_PHASE_RUNNING && !a.ended && a.stop == keep {
			services = append(services, a.assignment)
		}
	}
	return services
}

// Replied takes the answer to a beat that was sent at sent. A lease counts from
// then, so that it never outlasts what the leader waits for.
func (r *Runner) Replied(sent time.Time, reply *schema.BeatReply) {
	if reply.GetTerm() < r.term {
		r.stats.StaleReplies++
		return
	}
	r.term = reply.GetTerm()
	if !reply.GetLeader() {
		return
	}
	r.settle(reply.GetAcknowledged(), stopConfirm)
	r.settle(reply.GetStale(), stopDiscard)
	for id, result := range r.results {
		if result.GetOutcome() == schema.Outcome_OUTCOME_CHECKPOINT {
			delete(r.results, id) // sent once; the next one replaces it
		}
	}
	lease := time.Duration(reply.GetLeaseMs()) * time.Millisecond
	if until := sent.Add(lease); until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
	if !reply.GetUnchanged() {
		r.assigned, r.hash = reply.GetAssignments(), reply.GetGrantsHash()
		if r.assigned == nil {
			r.assigned = []*schema.Assignment{}
		}
		for _, as := range r.assigned {
			if a := r.attempts[ident.AttemptOf(as.GetTask())]; a != nil {
				a.assignment = as
			}
		}
	}
}

// settle forgets results that the log has, or never will. The worker keeps an
// ended attempt until then, so that an agent that restarts reports it again.
func (r *Runner) settle(refs []*schema.TaskRef, reason stopReason) {
	for _, ref := range refs {
		id := ident.AttemptOf(ref)
		delete(r.results, id)
		if a := r.attempts[id]; a != nil && a.ended {
			a.stop = reason
		}
	}
}

// Listed takes the worker's own account of its attempts.
func (r *Runner) Listed(now time.Time, tasks []*schema.WorkerTask) {
	r.listed, r.listedAt = true, now
	present := make(map[ident.Attempt]bool, len(tasks))
	for _, task := range tasks {
		id := ident.AttemptOf(task.GetTask())
		present[id] = true
		r.observe(now, id, task)
	}
	for _, id := range r.sorted() {
		a := r.attempts[id]
		if present[id] || a.phase == schema.Phase_PHASE_STARTING {
			continue
		}
		r.finish(id, a, schema.Outcome_OUTCOME_EVICTED, nil, "the worker no longer runs the attempt")
		r.drop(id)
	}
}

func (r *Runner) observe(now time.Time, id ident.Attempt, task *schema.WorkerTask) {
	a := r.attempts[id]
	if a == nil {
		a = &attempt{assignment: task.GetAssignment(), phase: schema.Phase_PHASE_RUNNING, reportedAt: now}
		r.attempts[id] = a
		r.ledger.Adopt(id, task.GetSize())
	}
	a.speedPercent, a.sharePercent = task.GetSpeedPercent(), task.GetSharePercent()
	if task.GetEnded() && !a.ended {
		if task.GetFailed() {
			r.stats.Failed++
			r.finish(id, a, schema.Outcome_OUTCOME_FAILED, nil, task.GetReason())
		} else {
			r.stats.Completed++
			r.finish(id, a, schema.Outcome_OUTCOME_COMPLETED, nil, "")
		}
		r.ledger.Release(id)
		a.stop, a.asked = keep, false // a stop that is due now would lose the result
	}
	if !a.ended && len(task.GetCheckpoint()) > 0 && now.Sub(a.reportedAt) >= CheckpointInterval {
		a.reportedAt = now
		r.results[id] = &schema.Result{
			Task: id.Ref(), Outcome: schema.Outcome_OUTCOME_CHECKPOINT, Checkpoint: task.GetCheckpoint(),
		}
	}
}

// finish records the end of an attempt for the leader.
func (r *Runner) finish(id ident.Attempt, a *attempt, o schema.Outcome, checkpoint []byte, reason string) {
	if a.ended {
		return
	}
	a.ended = true
	r.results[id] = &schema.Result{Task: id.Ref(), Outcome: o, Checkpoint: checkpoint, Reason: reason}
}

// drop forgets an attempt that certainly runs no more.
func (r *Runner) drop(id ident.Attempt) {
	r.ledger.Release(id)
	delete(r.attempts, id)
}

func (r *Runner) sorted() []ident.Attempt { return sortedKeys(r.attempts) }

func sortedKeys[V any](m map[ident.Attempt]V) []ident.Attempt {
	keys := make([]ident.Attempt, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, ident.Attempt.Compare)
	return keys
}
