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

// maxRevisions is the number of revisions in the history of each team.
const maxRevisions = 20

// Team is the configuration of one team and its use of resources.
type Team struct {
	Name string
	// Revision grows by one with each accepted change, deletions included, and
	// never falls, not even when a deleted team is created again.
	Revision uint64
	Body     []byte
	Config   *teams.Config
	// Deleted is set while the team is deleted. A deleted team keeps its revision
	// and accepts no jobs.
	Deleted bool
	// Changed is the time in the batch of the latest change.
	Changed time.Time
	// History holds the latest revisions, oldest first.
	History []*schema.ConfigChange
	// used is the total size of the team's granted batch tasks. No grant makes it
	// exceed the quota, but the quota may be lowered afterwards.
	used usage
	// unfinished counts the team's batch tasks that have not ended.
	unfinished uint32
}

// usage is a sum of sizes, in the units of schema.Size.
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

// within reports whether u plus s is within a quota; 0 in the quota means unlimited.
func (u usage) within(s, quota *schema.Size) bool {
	u.add(s)
	return (quota.GetCpuMilli() == 0 || u.cpu <= uint64(quota.GetCpuMilli())) &&
		(quota.GetMemoryMb() == 0 || u.memory <= uint64(quota.GetMemoryMb())) &&
		(quota.GetAccelerators() == 0 || u.accelerators <= uint64(quota.GetAccelerators()))
}

// Team returns a team, which may be deleted, or nil if it never had a
// configuration. The caller must not change it.
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

// HasQuotaFor reports whether one more batch task of a size is within the team's
// quota.
func (t *Team) HasQuotaFor(size *schema.Size) bool {
	return t.used.within(size, t.Config.Quota.Size())
}

// Used returns the total size of the team's granted batch tasks.
func (t *Team) Used() *schema.Size {
	return &schema.Size{CpuMilli: uint32(t.used.cpu), MemoryMb: uint32(t.used.memory), Accelerators: uint32(t.used.accelerators)}
}

// configure stores or deletes a team's configuration if the change is based on the
// team's current revision. A team cannot move to another cell.
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
		cellChanged := t.Revision > 0 && cfg.CellName() != t.Config.CellName()
		if len(faults) > 0 || cellChanged {
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
	if n := len(t.History) - maxRevisions; n > 0 {
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
			f.cancelTasks(f.jobs[id], 0)
			delete(f.jobs, id)
		}
	}
}

// serviceJobs returns the ids of a team's service jobs, sorted.
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

// resizeService gives the job of a service the configured number of replicas, and
// creates the job if there is none.
func (f *Fold) resizeService(t *Team, id, name string, s *teams.Service) {
	job := f.jobs[id]
	if job == nil {
		f.order++
		job = &Job{ID: id, Team: t.Name, Kind: name, Cell: t.Config.CellName(), Service: true, Order: f.order}
		f.jobs[id] = job
	}
	job.Size = s.Size()
	f.cancelTasks(job, int(s.Replicas))
	if len(job.Tasks) > int(s.Replicas) {
		job.Tasks = job.Tasks[:s.Replicas]
	}
	for i := len(job.Tasks); i < int(s.Replicas); i++ {
		// A new replica starts after the epochs of removed ones, so that it never
		// repeats an epoch.
		job.Tasks = append(job.Tasks, &Task{Job: job, Index: uint32(i), Epoch: job.maxRemovedEpoch})
		f.addWaiting(job, 1)
	}
}
