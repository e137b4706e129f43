package leader

import (
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// lease is what the leader granted to one VM.
type lease struct {
	// answered is when the leader last renewed the lease.
	answered    time.Time
	incarnation int64
	// extended is set if the latest renewal was given without the log.
	extended bool
	// attempts are those that the VM reported last.
	attempts []ident.Attempt
	slowdown uint32
}

// Beat answers an agent's announcement. The caller has entered the member.
func (l *Leader) Beat(now time.Time, req *schema.BeatRequest, reply *schema.BeatReply) {
	reply.Term, reply.ConfigVersion = l.fold.Cell(l.cell).Term, l.fold.ConfigVersion()
	if !l.Leads(now) || req.GetTermSeen() > l.term {
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
	v.answered = now
	v.attempts = attemptsOf(req)
	reply.Leader, reply.LeaseMs = true, VMLease.Milliseconds()
	l.takeResults(vm, req.GetResults(), reply)
	l.fillAssignments(vm, req, reply)
}

func attemptsOf(req *schema.BeatRequest) []ident.Attempt {
	attempts := make([]ident.Attempt, 0, len(req.GetAttempts()))
	for _, a := range req.GetAttempts() {
		attempts = append(attempts, ident.AttemptOf(a.GetTask()))
	}
	return attempts
}

// takeResults keeps results for the log, and answers which need not be reported
// again because the fold has moved past the attempt.
func (l *Leader) takeResults(vm string, results []*schema.Result, reply *schema.BeatReply) {
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

func (l *Leader) fillAssignments(vm string, req *schema.BeatRequest, reply *schema.BeatReply) {
	held := l.fold.GrantedTo(vm)
	list := make([]*schema.Assignment, 0, len(held))
	for _, t := range held {
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
		list = append(list, a)
	}
	reply.GrantsHash = hashAssignments(list)
	if req.GetGrantsHash() == reply.GrantsHash && !req.GetFirst() {
		reply.Unchanged = true
		return
	}
	reply.Assignments = list
}

// proposeResults puts the ends of attempts into the log.
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
		l.failures.note(now, r)
	}
	if len(rs.Results) > 0 {
		l.propose(now, &schema.Record{Body: &schema.Record_Results{Results: rs}})
	}
}

// revokeSilent takes the attempts of VMs whose leases surely ended.
func (l *Leader) revokeSilent(now time.Time) {
	for _, vm := range l.fold.VMsWithGrants(l.cell) {
		if now.Before(l.leaseEnd(vm)) {
			continue
		}
		delete(l.vms, vm)
		l.stats.Revocations++
		l.log.Warn("revokes silent VM", "cell", l.cell, "vm", vm)
		l.propose(now, &schema.Record{Body: &schema.Record_Revoke{Revoke: &schema.VMRevoke{Vm: vm}}})
	}
}

// leaseEnd returns when the VM must have stopped its attempts, by its own clock
// and whoever renewed its lease last.
func (l *Leader) leaseEnd(vm string) time.Time {
	if v := l.vms[vm]; v != nil {
		return v.answered.Add(withMargin(VMLease))
	}
	end := l.tookOver.Add(withMargin(VMLease))
	return later(end, l.extensionEnd())
}
