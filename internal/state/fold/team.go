package fold

import (
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// keepHistory is the number of revisions kept for each team.
const keepHistory = 20

// Team is the configuration of one team and what its batch tasks hold.
type Team struct {
	Name string
	// Revision grows by one with each accepted change, deletions included, and
	// never falls, not even when a deleted team is created again.
	Revision uint64
	Body     []byte
	Config   *teams.Config
	// Deleted teams keep their revision and accept no work.
	Deleted bool
	// Changed is the fold's clock at the latest change.
	Changed time.Time
	// History holds the latest revisions, oldest first.
	History []*schema.ConfigChange
	// used is what the team's granted batch tasks take; it never exceeds the
	// quota at the time of a grant.
	used usage
	// open counts the team's batch tasks that have not ended.
	open uint32
}

type usage struct {
	cpu, memory, accelerators uint64
}

func (u *usage) add(s *schema.Size) {
	u.cpu += uint64(s.GetCpuMilli())
	u.memory += uint64(s.GetMemoryMb())
	u.accelerators += uint64(s.GetAccelerators())
}

func (u *usage) remove(s *schema.Size) {
	u.cpu -= uint64(s.GetCpuMilli())
	u.memory -= uint64(s.GetMemoryMb())
	u.accelerators -= uint64(s.GetAccelerators())
}

// within reports whether u plus s keeps to a quota, in which 0 means unbounded.
func (u usage) within(s, quota *schema.Size) bool {
	u.add(s)
	return (quota.GetCpuMilli() == 0 || u.cpu <= uint64(quota.GetCpuMilli())) &&
		(quota.GetMemoryMb() == 0 || u.memory <= uint64(quota.GetMemoryMb())) &&
		(quota.GetAccelerators() == 0 || u.accelerators <= uint64(quota.GetAccelerators()))
}

// Team returns a team whose configuration is or was in force, or nil.
// The caller must not change it.
func (f *Fold) Team(name string) *Team { return f.teams[name] }

// Teams returns all teams by name. The caller must not change them.
func (f *Fold) Teams() []*Team {
	all := make([]*Team, 0, len(f.teams))
	for _, t := range f.teams {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *Team) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// HasQuotaFor reports whether the quota lets the team hold one more task of a size.
func (t *Team) HasQuotaFor(size *schema.Size) bool {
	return t.used.within(size, t.Config.Quota.Size())
}

// Used returns what the team's granted batch tasks take.
func (t *Team) Used() *schema.Size {
	return &schema.Size{CpuMilli: uint32(t.used.cpu), MemoryMb: uint32(t.used.memory), Accelerators: uint32(t.used.accelerators)}
}

func (f *Fold) configure(b *schema.Batch, put *schema.ConfigPut) Applied {
	t := f.teams[put.GetTeam()]
	if t == nil {
		t = &Team{Name: put.GetTeam(), Config: &teams.Config{}}
	}
	if put.GetBase() != t.Revision {
		return Applied{Code: codes.ConfigStale, Revision: t.Revision}
	}
	if put.GetDelete() {
		if t.Revision == 0 || t.Deleted {
			return Applied{Code: codes.ConfigMissing, Revision: t.Revision}
		}
		t.Deleted = true
	} else {
		cfg, faults := teams.Parse(put.GetTeam(), put.GetBody())
		moved := t.Revision > 0 && cfg.CellName() != t.Config.CellName()
		if len(faults) > 0 || moved {
			return Applied{Code: codes.ConfigInvalid, Revision: t.Revision}
		}
		t.Config, t.Body, t.Deleted = cfg, put.GetBody(), false
	}
	f.teams[t.Name] = t
	t.Revision++
	t.Changed = time.UnixMilli(b.GetAtMs())
	t.History = append(t.History, &schema.ConfigChange{
		Revision: t.Revision, Author: put.GetAuthor(), AtMs: b.GetAtMs(),
		Body: put.GetBody(), Deleted: put.GetDelete(), RollbackOf: put.GetRollbackOf(),
	})
	if n := len(t.History) - keepHistory; n > 0 {
		t.History = slices.Delete(t.History, 0, n)
	}
	f.configVersion++
	f.reconcileServices(t)
	return Applied{Revision: t.Revision}
}

// reconcileServices makes the team's service jobs match its configuration.
func (f *Fold) reconcileServices(t *Team) {
	names := make([]string, 0, len(t.Config.Services))
	if !t.Deleted {
		for name := range t.Config.Services {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	wanted := map[string]bool{}
	for _, name := range names {
		id := ident.ServiceJob(t.Name, name)
		wanted[id] = true
		s := t.Config.Services[name]
		f.resizeService(t, id, name, &s)
	}
	for _, id := range f.serviceJobs(t.Name) {
		if !wanted[id] {
			f.endTasks(f.jobs[id], 0)
			delete(f.jobs, id)
		}
	}
}

func (f *Fold) serviceJobs(team string) []string {
	var ids []string
	for id, job := range f.jobs {
		if job.Service && job.Team == team {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *Fold) resizeService(t *Team, id, name string, s *teams.Service) {
	job := f.jobs[id]
	if job == nil {
		f.order++
		job = &Job{ID: id, Team: t.Name, Kind: name, Cell: t.Config.CellName(), Service: true, Order: f.order}
		f.jobs[id] = job
	}
	job.Size = s.Size()
	f.endTasks(job, int(s.Replicas))
	if len(job.Tasks) > int(s.Replicas) {
		job.Tasks = job.Tasks[:s.Replicas]
	}
	for i := len(job.Tasks); i < int(s.Replicas); i++ {
		// Epochs continue where replicas that were removed earlier left off.
		job.Tasks = append(job.Tasks, &Task{Job: job, Index: uint32(i), Epoch: job.epochs})
		f.setWaiting(job, 1)
	}
}
