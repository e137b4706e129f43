// Package runner decides which attempts one VM runs. It follows the leader's
// assignments while the VM holds a lease, and refuses those for which the VM lacks
// the capacity.
package runner

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/ledger"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// stopMargin is how long before the end of its lease a VM begins to stop its
	// batch attempts, so that they have stopped by then.
	stopMargin = time.Second
	// CheckpointInterval is the time between two checkpoints of an attempt that are
	// reported for the log.
	CheckpointInterval = 5 * time.Minute
)

// Runner holds the state of one VM's attempts. Create it with New. It is not safe
// for concurrent use.
type Runner struct {
	ledger *ledger.Ledger
	// term is the highest term seen; replies of lower terms are ignored.
	term uint64
	// leaseUntil is when the VM's lease ends, after which no batch attempt may run.
	leaseUntil time.Time
	// assigned holds the latest assignments, nil before the first reply of a leader;
	// assignedHash is their hash, as the leader sent it.
	assigned     []*schema.Assignment
	assignedHash uint64
	// listed is true once the worker has listed its attempts; nothing is started or
	// stopped before.
	listed bool
	// leaving is true once the VM starts no more attempts and stops its batch
	// attempts.
	leaving bool
	// stopReplicas is true once a leaving VM stops its replicas as well.
	stopReplicas bool
	attempts     map[ident.Attempt]*attempt
	// results holds the results of attempts until the leader acknowledges them.
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

// attempt is the state of one attempt on the VM.
type attempt struct {
	assignment *schema.Assignment
	phase      schema.Phase
	// ended is true once the attempt has a result; it may still hold resources.
	ended bool
	// stop is why the attempt is being stopped, stopNone if it is not.
	stop stopReason
	// stopRequested is true while the outcome of a Stop is unknown.
	stopRequested bool
	checkpoint    []byte
	// checkpointedAt is when a checkpoint was last reported for the log, or when
	// the attempt started if none was.
	checkpointedAt time.Time
	// speedPercent is the speed of a replica, sharePercent the share of its full
	// speed that a batch attempt is throttled to.
	speedPercent uint32
	sharePercent uint32
}

// stopReason is why an attempt is being stopped.
type stopReason uint8

const (
	// stopNone means that the attempt is not being stopped.
	stopNone stopReason = iota
	// stopEvict stops the attempt and keeps its work in a checkpoint.
	stopEvict
	// stopDiscard stops the attempt and discards its output.
	stopDiscard
	// stopConfirm confirms an ended attempt whose result the log has, so that its
	// output counts.
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

// Stats returns the counts so far.
func (r *Runner) Stats() Stats { return r.stats }

// Used returns the resources that the attempts on the VM hold.
func (r *Runner) Used() *schema.Size { return r.ledger.Used() }

// Term returns the highest term seen.
func (r *Runner) Term() uint64 { return r.term }

// Lease returns how long batch attempts may still run without a renewal.
func (r *Runner) Lease(now time.Time) time.Duration { return max(0, r.leaseUntil.Sub(now)) }

// Leave makes the VM stop its batch attempts and start no more attempts.
func (r *Runner) Leave() { r.leaving = true }

// StopReplicas makes a leaving VM stop its replicas, so that they can be placed on other
// VMs before its lease expires. It must be called once the VM handles no more requests.
func (r *Runner) StopReplicas() { r.stopReplicas = true }

// Idle reports whether the VM has no attempt and no unacknowledged result.
func (r *Runner) Idle() bool { return len(r.attempts)+len(r.results) == 0 }

// Fill adds the term, the hash of the assignments, and the attempts with their
// measurements and results to a heartbeat.
func (r *Runner) Fill(req *schema.BeatRequest) {
	req.TermSeen, req.GrantsHash, req.First = r.term, r.assignedHash, r.assigned == nil
	for _, id := range r.sortedIDs() {
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

// Replicas returns the running service replicas, as a heartbeat lists them.
func (r *Runner) Replicas() []*schema.Replica {
	var replicas []*schema.Replica
	for _, a := range r.Services() {
		replicas = append(replicas, &schema.Replica{Team: a.GetTeam(), Service: a.GetKind(), Slots: a.GetSlots()})
	}
	return replicas
}

// Services returns the assignments of the running service replicas.
func (r *Runner) Services() []*schema.Assignment {
	var services []*schema.Assignment
	for _, id := range r.sortedIDs() {
		a := r.attempts[id]
		if a.assignment.GetService() && a.phase == schema.Phase_PHASE_RUNNING && !a.ended && a.stop == stopNone {
			services = append(services, a.assignment)
		}
	}
	return services
}

// Replied handles the reply to a heartbeat that was sent at sent. The lease begins at
// sent here, but at the later time of the reply for the leader. It has therefore
// always expired here when the leader stops waiting for its end.
func (r *Runner) Replied(sent time.Time, reply *schema.BeatReply) {
	if reply.GetTerm() < r.term {
		r.stats.StaleReplies++
		return
	}
	r.term = reply.GetTerm()
	if !reply.GetLeader() {
		return
	}
	r.forgetResults(reply.GetAcknowledged(), stopConfirm)
	r.forgetResults(reply.GetStale(), stopDiscard)
	for id, result := range r.results {
		if result.GetOutcome() == schema.Outcome_OUTCOME_CHECKPOINT {
			delete(r.results, id) // checkpoints are reported once; a later one replaces them
		}
	}
	lease := time.Duration(reply.GetLeaseMs()) * time.Millisecond
	if until := sent.Add(lease); until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
	if !reply.GetUnchanged() {
		r.assigned, r.assignedHash = reply.GetAssignments(), reply.GetGrantsHash()
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

// forgetResults removes results that the log has or will never accept. Only then is
// the ended attempt removed from the worker, so that an agent that restarts earlier
// finds it there and reports its result again.
func (r *Runner) forgetResults(refs []*schema.TaskRef, reason stopReason) {
	for _, ref := range refs {
		id := ident.AttemptOf(ref)
		delete(r.results, id)
		if a := r.attempts[id]; a != nil && a.ended {
			a.stop = reason
		}
	}
}

// Listed handles the worker's list of its attempts.
func (r *Runner) Listed(now time.Time, tasks []*schema.WorkerTask) {
	r.listed = true
	present := make(map[ident.Attempt]bool, len(tasks))
	for _, task := range tasks {
		id := ident.AttemptOf(task.GetTask())
		present[id] = true
		r.observe(now, id, task)
	}
	for _, id := range r.sortedIDs() {
		a := r.attempts[id]
		if present[id] || a.phase == schema.Phase_PHASE_STARTING {
			continue
		}
		r.finish(id, a, schema.Outcome_OUTCOME_EVICTED, nil, "the worker no longer runs the attempt")
		r.drop(id)
	}
}

// observe updates an attempt from the worker's list, or adopts it if it is unknown.
func (r *Runner) observe(now time.Time, id ident.Attempt, task *schema.WorkerTask) {
	a := r.attempts[id]
	if a == nil {
		a = &attempt{assignment: task.GetAssignment(), phase: schema.Phase_PHASE_RUNNING, checkpointedAt: now}
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
		a.stop, a.stopRequested = stopNone, false // a stop would lose the result before the log has it
	}
	if !a.ended && len(task.GetCheckpoint()) > 0 && now.Sub(a.checkpointedAt) >= CheckpointInterval {
		a.checkpointedAt = now
		r.results[id] = &schema.Result{
			Task: id.Ref(), Outcome: schema.Outcome_OUTCOME_CHECKPOINT, Checkpoint: task.GetCheckpoint(),
		}
	}
}

// finish stores the result of an attempt, to be reported to the leader.
func (r *Runner) finish(id ident.Attempt, a *attempt, o schema.Outcome, checkpoint []byte, reason string) {
	if a.ended {
		return
	}
	a.ended = true
	r.results[id] = &schema.Result{Task: id.Ref(), Outcome: o, Checkpoint: checkpoint, Reason: reason}
}

// drop removes an attempt that certainly no longer runs.
func (r *Runner) drop(id ident.Attempt) {
	r.ledger.Release(id)
	delete(r.attempts, id)
}

// sortedIDs returns the ids of the attempts in a fixed order.
func (r *Runner) sortedIDs() []ident.Attempt { return sortedKeys(r.attempts) }

func sortedKeys[V any](m map[ident.Attempt]V) []ident.Attempt {
	keys := make([]ident.Attempt, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, ident.Attempt.Compare)
	return keys
}
