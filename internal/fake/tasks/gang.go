package tasks

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangKey identifies a run of a gang: its tasks have the same name up to their index.
type gangKey struct {
	step   string
	number uint32
}

// gang is a run of a gang, of which a part of the members may be present.
type gang struct {
	members []*run
	// complete is when all members were present, zero before.
	complete time.Time
}

// gangOf returns the key of the gang that a run belongs to.
func gangOf(r *run) gangKey {
	return gangKey{stepOf(r.task), r.number}
}

// stepOf returns the name of a task without its index.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// join adds a run to its gang. The members work from the moment when all of them are present.
func (x *Witness) join(now time.Time, r *run) {
	if r.plan.Members == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gangs == nil {
		x.gangs = map[gangKey]*gang{}
	}
	g := x.gangs[gangOf(r)]
	if g == nil {
		g = &gang{}
		x.gangs[gangOf(r)] = g
	}
	g.members = append(g.members, r)
	if len(g.members) == r.plan.Members {
		g.complete = now
	}
}

// leave removes a run from its gang and ends the other members: they are done with it, or broken.
func (x *Witness) leave(r *run, o msgs.Outcome) {
	if r.plan.Members == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	g := x.gangs[gangOf(r)]
	if g == nil || !slices.Contains(g.members, r) {
		return
	}
	for _, other := range g.members {
		if other != r {
			other.gangOutcome = msgs.Broken
			if o == msgs.Done {
				other.gangOutcome = msgs.Done
				x.finished[other.task] = true
			}
		}
	}
	delete(x.gangs, gangOf(r))
}

// worked returns how long a run has worked. A member of a gang does once the gang is complete.
func (x *Witness) worked(now time.Time, r *run) time.Duration {
	if r.plan.Members == 0 {
		return now.Sub(r.startedAt)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if g := x.gangs[gangOf(r)]; g != nil && !g.complete.IsZero() {
		return now.Sub(g.complete)
	}
	return 0
}

// advanceMember ends a run whose gang has ended or has not become complete in time, and reports
// whether it has.
func (w *Worker) advanceMember(now time.Time, r *run) bool {
	switch {
	case r.plan.Members == 0:
		return false
	case r.gangOutcome != 0:
		w.endRun(now, r, r.gangOutcome)
	case w.witness.worked(now, r) == 0 && now.Sub(r.startedAt) >= gangTimeout:
		w.endRun(now, r, msgs.Alone)
	default:
		return false
	}
	return true
}

// tasksOf returns the tasks whose end a run end represents: all members of a gang that is done.
func (w *Worker) tasksOf(e msgs.RunEnd) []string {
	members := w.plan(e.Task, e.Run).Members
	if members == 0 {
		return []string{e.Task}
	}
	var list []string
	for i := range members {
		list = append(list, fmt.Sprintf("%s.%d", stepOf(e.Task), i))
	}
	return list
}
