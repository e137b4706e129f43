package leader

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// lease is the lease that the leader granted to one VM.
type lease struct {
	// renewedAt is when the leader last renewed the lease.
	renewedAt time.Time
	// incarnation is that of the agent's latest start; heartbeats of earlier ones are
	// ignored.
	incarnation int64
	// attempts are the attempts in the VM's latest heartbeat.
	attempts []ident.Attempt
}

// Beat handles an agent's heartbeat: it renews the VM's lease, stores the reported
// results and fills in the reply. The caller has already updated the member.
func (l *Leader) Beat(now time.Time, req *schema.BeatRequest, reply *schema.BeatReply) {
	reply.Term, reply.ConfigVersion = l.fold.Cell(l.cell).Term, l.fold.ConfigVersion()
	if !l.Leads(now) || req.GetTermSeen() > l.term {
		return
	}
	if req.GetFirst() && !now.Before(l.termEnd) {
		// The agent has started during the extension. It may have forgotten a later leader,
		// which may have given the VM's attempts to other VMs.
		l.log.Debug("gives no lease to an agent that has just started", "cell", l.cell, "vm", req.GetMember().GetVm())
		return
	}
	vm := req.GetMember().GetVm()
	v := l.vms[vm]
	if v == nil {
		v = &lease{}
		l.vms[vm] = v
	}
	if req.GetMember().GetIncarnation() < v.incarnation {
		return
	}
	v.incarnation = req.GetMember().GetIncarnation()
	v.renewedAt = now
	v.attempts = attemptsOf(req)
	reply.Leader = true
	l.addResults(vm, req.GetResults(), reply)
	if l.isRevoking(vm) {
		l.log.Info("withholds the lease of a VM that is being revoked", "cell", l.cell, "vm", vm)
		reply.Unchanged, reply.GrantsHash = true, req.GetGrantsHash()
		return
	}
	reply.LeaseMs = VMLease.Milliseconds()
	l.fillAssignments(vm, req, reply)
}

// isRevoking reports whether the outcome of the VM's revocation is unknown. The state may
// then show attempts as granted to the VM that the log has given back.
func (l *Leader) isRevoking(vm string) bool {
	for _, revoked := range l.revoking {
		if revoked == vm {
			return true
		}
	}
	return false
}

func attemptsOf(req *schema.BeatRequest) []ident.Attempt {
	attempts := make([]ident.Attempt, 0, len(req.GetAttempts()))
	for _, a := range req.GetAttempts() {
		attempts = append(attempts, ident.AttemptOf(a.GetTask()))
	}
	return attempts
}

// addResults stores results to be written to the log. It adds to the reply those
// that the agent need not report again: acknowledged if the log has the result,
// stale if the attempt is no longer granted to the VM, so that its result must
// not take effect.
func (l *Leader) addResults(vm string, results []*schema.Result, reply *schema.BeatReply) {
	for _, r := range results {
		t := l.fold.Task(r.GetTask())
		switch {
		case t == nil:
			reply.Stale = append(reply.Stale, r.GetTask())
			continue
		case t.State == fold.Completed:
			reply.Acknowledged = append(reply.Acknowledged, r.GetTask())
			continue
		case t.State != fold.Granted || t.VM != vm:
			reply.Stale = append(reply.Stale, r.GetTask())
			continue
		}
		r.Vm = vm
		a := ident.AttemptOf(r.GetTask())
		old := l.results[a]
		if old == nil || old.GetOutcome() == schema.Outcome_OUTCOME_CHECKPOINT {
			l.results[a] = r
		}
	}
}

// fillAssignments adds the tasks granted to a VM to the reply, or only their hash
// if the agent has them already.
func (l *Leader) fillAssignments(vm string, req *schema.BeatRequest, reply *schema.BeatReply) {
	tasks := l.fold.GrantedTo(vm)
	assignments := make([]*schema.Assignment, 0, len(tasks))
	for _, t := range tasks {
		if t.Job.Cell != l.cell {
			continue
		}
		a := &schema.Assignment{
			Task: t.Attempt().Ref(), Team: t.Job.Team, Kind: t.Job.Kind, Size: t.Job.Size,
			Service: t.Job.Service, Urgent: t.Job.Urgent, Checkpoint: t.Checkpoint,
			WorkMs: t.Job.WorkMs, Input: t.Job.Input,
		}
		_, a.Evict = l.evicting[t.Attempt()]
		if t.Job.Service {
			s := l.fold.Team(t.Job.Team).Config.Services[t.Job.Kind]
			a.Slots, a.LatencyAimMs = s.SlotCount(), uint32(s.LatencyTarget.Milliseconds())
			for _, name := range s.KindNames() {
				k := s.Kinds[name]
				a.Kinds = append(a.Kinds, &schema.RequestKind{Name: name, Share: k.Share, Weight: k.Weight})
			}
		}
		assignments = append(assignments, a)
	}
	reply.GrantsHash = hashAssignments(assignments)
	if req.GetGrantsHash() == reply.GrantsHash && !req.GetFirst() {
		reply.Unchanged = true
		return
	}
	reply.Assignments = assignments
}

// proposeResults writes the stored results of attempts to the log.
func (l *Leader) proposeResults(now time.Time) {
	if len(l.results) == 0 {
		return
	}
	attempts := make([]ident.Attempt, 0, len(l.results))
	for a := range l.results {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, ident.Attempt.Compare)
	rs := &schema.Results{}
	for _, a := range attempts {
		r := l.results[a]
		delete(l.results, a)
		if t := l.fold.Task(r.GetTask()); t == nil || t.State != fold.Granted {
			continue
		}
		rs.Results = append(rs.Results, r)
		l.failures.observe(now, r)
	}
	if len(rs.Results) > 0 {
		l.propose(now, &schema.Record{Body: &schema.Record_Results{Results: rs}})
	}
}

// revokeSilent revokes the attempts of VMs whose leases must have expired.
func (l *Leader) revokeSilent(now time.Time) {
	for _, vm := range l.fold.VMsWithGrants(l.cell) {
		if now.Before(l.leaseEnd(vm)) {
			continue
		}
		delete(l.vms, vm)
		l.stats.Revocations++
		l.log.Warn("revokes silent VM", "cell", l.cell, "vm", vm)
		id := l.propose(now, &schema.Record{Body: &schema.Record_Revoke{Revoke: &schema.VMRevoke{Vm: vm}}})
		l.revoking[id] = vm
	}
}

// leaseEnd returns when the VM must have stopped its attempts by its own clock,
// whichever leader renewed its lease last.
func (l *Leader) leaseEnd(vm string) time.Time {
	if v := l.vms[vm]; v != nil {
		return v.renewedAt.Add(withMargin(VMLease))
	}
	end := l.leadingSince.Add(withMargin(VMLease))
	return later(end, l.extensionEnd())
}
