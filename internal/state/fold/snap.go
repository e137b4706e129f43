package fold

import (
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Encode returns the whole state for a snapshot. Equal states are encoded equally.
// Stats and the VMs that Changed would return are not part of the state.
func (f *Fold) Encode() *schema.State {
	f.init()
	s := &schema.State{
		Offset: f.next, ClockMs: f.clock.UnixMilli(), ForgetAtMs: f.expireAt.UnixMilli(),
		Order: f.order, ConfigVersion: f.configVersion, SnapshotBase: f.latestSnapshot.base,
	}
	for _, w := range f.writers {
		s.Writers = append(s.Writers, &schema.WriterState{
			Writer: w.ID, Seq: w.Seq, SeenMs: w.LastSeen.UnixMilli(), Left: w.Left, JoinedAt: w.JoinedAt,
			Hello: &schema.Hello{Name: w.Name, Zone: w.Zone, PeerAddr: w.PeerAddr},
		})
	}
	slices.SortFunc(s.Writers, func(a, b *schema.WriterState) int { return strings.Compare(a.Writer, b.Writer) })
	for _, c := range f.cells {
		s.Cells = append(s.Cells, &schema.CellState{
			Cell: c.Name, Term: c.Term, Leader: c.Leader, ClaimedAt: c.ClaimedAt,
			RenewedAt: c.RenewedAt, Known: c.Known, PriorKnown: c.PriorKnown,
		})
	}
	slices.SortFunc(s.Cells, func(a, b *schema.CellState) int { return strings.Compare(a.Cell, b.Cell) })
	for _, t := range f.Teams() {
		s.Teams = append(s.Teams, &schema.TeamState{
			Team: t.Name, Revision: t.Revision, Body: t.Body, Deleted: t.Deleted,
			History: t.History, ChangedMs: t.Changed.UnixMilli(),
		})
	}
	for _, j := range f.jobs {
		s.Jobs = append(s.Jobs, j.encode())
	}
	slices.SortFunc(s.Jobs, func(a, b *schema.JobState) int { return int(a.Order) - int(b.Order) })
	return s
}

func (j *Job) encode() *schema.JobState {
	s := &schema.JobState{
		Accept: &schema.JobAccept{
			Job: j.ID, Team: j.Team, Key: j.Key, BodyHash: j.Hash, Kind: j.Kind, Tasks: j.Count,
			Size: j.Size, Urgent: j.Urgent, MaxFailures: j.maxFailures, WorkMs: j.WorkMs, Input: j.Input,
		},
		Cell: j.Cell, Cancelled: j.Cancelled, Service: j.Service, Order: j.Order,
		AcceptedMs: j.Accepted.UnixMilli(), Done: j.Done, Epochs: j.maxRemovedEpoch,
	}
	if !j.Ended.IsZero() {
		s.EndedMs, s.EndedClockMs = j.Ended.UnixMilli(), j.endedClock.UnixMilli()
	}
	for _, t := range j.Tasks {
		s.Tasks = append(s.Tasks, &schema.TaskState{
			State: uint32(t.State), Epoch: t.Epoch, Vm: t.VM, Failures: t.Failures, Evictions: t.Evictions,
			Checkpoint: t.Checkpoint, FailedOn: t.FailedOn, Reason: t.Reason, SinceMs: t.ProgressSavedAt.UnixMilli(),
		})
	}
	return s
}

// Decode restores a fold from the result of Encode.
func Decode(s *schema.State) *Fold {
	f := &Fold{}
	f.init()
	f.next, f.clock = s.GetOffset(), time.UnixMilli(s.GetClockMs())
	f.expireAt, f.order = time.UnixMilli(s.GetForgetAtMs()), s.GetOrder()
	f.configVersion, f.latestSnapshot.base = s.GetConfigVersion(), s.GetSnapshotBase()
	for _, w := range s.GetWriters() {
		f.writers[w.GetWriter()] = &Writer{
			ID: w.GetWriter(), Seq: w.GetSeq(), LastSeen: time.UnixMilli(w.GetSeenMs()), Left: w.GetLeft(),
			JoinedAt: w.GetJoinedAt(), Name: w.GetHello().GetName(), Zone: w.GetHello().GetZone(),
			PeerAddr: w.GetHello().GetPeerAddr(),
		}
	}
	for _, c := range s.GetCells() {
		f.cells[c.GetCell()] = &Cell{
			Name: c.GetCell(), Term: c.GetTerm(), Leader: c.GetLeader(), ClaimedAt: c.GetClaimedAt(),
			RenewedAt: c.GetRenewedAt(), Known: c.GetKnown(), PriorKnown: c.GetPriorKnown(),
		}
	}
	for _, t := range s.GetTeams() {
		cfg, _ := teams.Parse(t.GetTeam(), t.GetBody())
		f.teams[t.GetTeam()] = &Team{
			Name: t.GetTeam(), Revision: t.GetRevision(), Body: t.GetBody(), Config: cfg, Deleted: t.GetDeleted(),
			History: t.GetHistory(), Changed: time.UnixMilli(t.GetChangedMs()),
		}
	}
	for _, j := range s.GetJobs() {
		f.decodeJob(j)
	}
	return f
}

func (f *Fold) decodeJob(s *schema.JobState) {
	a := s.GetAccept()
	job := &Job{
		ID: a.GetJob(), Team: a.GetTeam(), Cell: s.GetCell(), Kind: a.GetKind(), Key: a.GetKey(),
		Hash: a.GetBodyHash(), Service: s.GetService(), Urgent: a.GetUrgent(), Size: a.GetSize(),
		WorkMs: a.GetWorkMs(), Input: a.GetInput(), Order: s.GetOrder(),
		Accepted: time.UnixMilli(s.GetAcceptedMs()), Cancelled: s.GetCancelled(), Count: a.GetTasks(),
		Done: s.GetDone(), maxFailures: a.GetMaxFailures(), maxRemovedEpoch: s.GetEpochs(),
	}
	if s.GetEndedMs() != 0 {
		job.Ended, job.endedClock = time.UnixMilli(s.GetEndedMs()), time.UnixMilli(s.GetEndedClockMs())
	}
	f.jobs[job.ID] = job
	for i, ts := range s.GetTasks() {
		f.decodeTask(job, uint32(i), ts)
	}
	if !job.Service {
		f.jobMemory += job.memory()
	}
}

func (f *Fold) decodeTask(job *Job, index uint32, s *schema.TaskState) {
	t := &Task{
		Job: job, Index: index, State: TaskPhase(s.GetState()), Epoch: s.GetEpoch(), VM: s.GetVm(),
		Failures: s.GetFailures(), Evictions: s.GetEvictions(), Checkpoint: s.GetCheckpoint(),
		FailedOn: s.GetFailedOn(), Reason: s.GetReason(), ProgressSavedAt: time.UnixMilli(s.GetSinceMs()),
	}
	job.Tasks = append(job.Tasks, t)
	team := f.teams[job.Team]
	if !t.State.Ended() && !job.Service {
		job.unfinished++
		team.unfinished++
	}
	switch t.State {
	case Waiting:
		f.addWaiting(job, 1)
	case Granted:
		if f.granted[t.VM] == nil {
			f.granted[t.VM] = map[*Task]struct{}{}
		}
		f.granted[t.VM][t] = struct{}{}
		if !job.Service {
			team.used.add(job.Size)
		}
	}
}
