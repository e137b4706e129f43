package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// behaviour is what a task does once it works. The clients that hand a job in know it.
type behaviour struct {
	work    time.Duration
	lasting bool
	// gang is the number of members, 0 if the task is in no gang.
	gang int
	// count, cpu, memory and fills are as the job's only step has them. They may be 0 if nothing needs them.
	count, cpu, memory int
	fills              bool
}

// fleet is what all workers share: what tasks do, the gangs, and what was seen.
type fleet struct {
	mu    sync.Mutex
	rec   *record
	tasks map[string]behaviour // by ID.STEP
	gangs map[string]*gang     // by ID.K.STEP and run
	// ends holds the ends by task and then by how.
	ends map[string]map[string]int
}

// gang is one run of all members of a gang.
type gang struct {
	members map[string]*run
	began   time.Time
	// over says how the first member ended, at overAt. The others hear of it after gangNews.
	over   string
	overAt time.Time
}

// finish notes that a member has ended.
func (g *gang) finish(how string) {
	if g != nil && g.over == "" {
		g.over, g.overAt = how, time.Now()
	}
}

// heard reports whether the other members know that one has ended.
func (g *gang) heard() bool { return g.over != "" && time.Since(g.overAt) >= gangNews }

func newFleet(rec *record) *fleet {
	return &fleet{
		rec: rec, tasks: map[string]behaviour{}, gangs: map[string]*gang{},
		ends: map[string]map[string]int{},
	}
}

func parts(task string) (id, k, step, index string) {
	p := strings.Split(task, ".")
	return p[0], p[1], p[2], p[3]
}

func (f *fleet) note(task, how string) {
	if f.ends[task] == nil {
		f.ends[task] = map[string]int{}
	}
	f.ends[task][how]++
}

func (f *fleet) join(r *run, index string) {
	g := f.gangs[gangKey(r)]
	if g == nil {
		g = &gang{members: map[string]*run{}}
		f.gangs[gangKey(r)] = g
	}
	g.members[index] = r
	if len(g.members) == r.b.gang && g.over == "" {
		g.began = time.Now()
	}
}

func gangKey(r *run) string {
	id, k, step, _ := parts(r.task)
	return id + "." + k + "." + step + "/" + strconv.Itoa(r.number)
}

// endsOf returns how the runs of a job ended, with their numbers.
func (f *fleet) endsOf(id string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := map[string]int{}
	for task, hows := range f.ends {
		if strings.HasPrefix(task, id) {
			for how, n := range hows {
				sum[how] += n
			}
		}
	}
	return sum
}

// set says what the tasks of a step of a job do.
func (f *fleet) set(id string, step int, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tasks[fmt.Sprintf("%s.%d", id, step)] = b
}
