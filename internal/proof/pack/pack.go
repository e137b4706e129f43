// Package pack runs the placement of batch tasks in virtual time over a small
// fake of VMs whose tasks slow each other down, and measures policies against
// each other. Measurements of the slowdown come late.
package pack

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Kind is one kind of batch work.
type Kind struct {
	Name string
	Size place.Resources
	// Work is the mean run time at full speed.
	Work time.Duration
	// Disturbs is how much one task slows each service beside it.
	Disturbs float64
}

// Evictor says who must go for urgent work.
type Evictor uint8

// The evictors.
const (
	Cheapest Evictor = iota
	Newest
)

// Config describes a run.
type Config struct {
	Seed    uint64
	VMs     int
	For     time.Duration
	Learns  bool
	Policy  func(learned *learn.Model) place.Policy
	Evictor Evictor
	// Urgent is the mean time between arrivals of urgent tasks, 0 for none.
	Urgent time.Duration
	// Lag is how old measurements of slowdown are.
	Lag time.Duration
}

// Result is what a run measured.
type Result struct {
	// Finished is the batch work finished, in processor time.
	Finished time.Duration
	Tasks    int
	// Slowdown is the mean relative slowdown of the services.
	Slowdown float64
	// Evictions counts those for urgent work and by the guard, and Lost the work
	// that they lost.
	Evictions int
	Lost      time.Duration
}

const (
	tick            = time.Second
	checkpointEvery = 5 * time.Minute
	serviceTime     = 10 * time.Millisecond
	latencyAim      = 14 * time.Millisecond
	backlog         = 200
)

// Kinds are the batch kinds of the bench: classification that disturbs, re-runs
// that need memory, small tallies, and large mixed work.
func Kinds() []Kind {
	return []Kind{
		{"classify", place.Resources{CPU: 4000, Memory: 4 << 10}, 12 * time.Minute, 0.30},
		{"rerun", place.Resources{CPU: 2000, Memory: 24 << 10}, 25 * time.Minute, 0.02},
		{"tally", place.Resources{CPU: 1000, Memory: 2 << 10}, 5 * time.Minute, 0.06},
		{"corridor", place.Resources{CPU: 6000, Memory: 10 << 10}, 18 * time.Minute, 0.12},
	}
}

// Sim is one run.
type sim struct {
	cfg     Config
	rnd     *rand.Rand
	now     time.Duration
	vms     []*vm
	queue   []*task
	learned learn.Model
	policy  place.Policy
	next    int
	wave    int
	result  Result
	samples int
}

var epoch = time.Unix(1_800_000_000, 0)

// Run plays a run to its end.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11))}
	s.policy = cfg.Policy(&s.learned)
	for i := range cfg.VMs {
		capacity := place.Resources{CPU: 16_000, Memory: 60 << 10}
		v := &vm{VM: place.VM{Name: strconv.Itoa(i), Capacity: capacity, Free: capacity}}
		if i%2 == 0 {
			v.Assign(&place.Task{Kind: "t/registry", Size: place.Resources{CPU: 4000, Memory: 8 << 10}, Service: true})
			v.guard.SetTarget("t/registry", latencyAim)
		}
		s.vms = append(s.vms, v)
	}
	nextUrgent := cfg.Urgent
	for s.now < cfg.For {
		s.arrive()
		if cfg.Urgent > 0 && s.now >= nextUrgent {
			nextUrgent += time.Duration(s.rnd.ExpFloat64() * float64(cfg.Urgent))
			s.urgent()
		}
		s.place()
		for _, v := range s.vms {
			s.advance(v)
		}
		s.now += tick
	}
	s.result.Slowdown /= float64(s.samples)
	return s.result
}

// arrive keeps a backlog whose mix changes in waves.
func (s *sim) arrive() {
	if int(s.now/(7*time.Minute)) != s.wave {
		s.wave = int(s.now / (7 * time.Minute))
	}
	kinds := Kinds()
	for len(s.queue) < backlog {
		i := s.rnd.IntN(len(kinds))
		if s.rnd.IntN(2) == 0 {
			i = s.wave % len(kinds)
		}
		s.queue = append(s.queue, s.newTask(&kinds[i]))
	}
}

// place starts what fits, in order, looking past what does not.
func (s *sim) place() {
	views := make([]*place.VM, len(s.vms))
	for i, v := range s.vms {
		views[i] = &v.VM
	}
	s.rivals()
	var rest []*task
	for _, t := range s.queue {
		wanted := t.placed(s.now)
		if pack, ok := s.policy.(place.Pack); ok {
			wanted.SlowdownPerCPU = pack.SlowdownPerCPU(wanted.Kind, wanted.Size)
		}
		chosen := place.Choose(s.policy, wanted, views)
		if chosen == nil {
			rest = append(rest, t)
			continue
		}
		i, _ := strconv.Atoi(chosen.Name)
		s.start(s.vms[i], t)
	}
	s.queue = rest
}

// rivals tells the policy what else waits.
func (s *sim) rivals() {
	pack, ok := s.policy.(place.Pack)
	if !ok {
		return
	}
	waiting := map[string]int{}
	for _, t := range s.queue {
		waiting[t.kind.Name]++
	}
	pack.WaitingKinds = pack.WaitingKinds[:0]
	for _, k := range Kinds() {
		pack.WaitingKinds = append(pack.WaitingKinds, place.WaitingKind{
			Kind: "t/" + k.Name, Size: k.Size, Count: waiting[k.Name], SlowdownPerCPU: pack.SlowdownPerCPU("t/"+k.Name, k.Size),
		})
	}
	s.policy = pack
}

// urgent places a task at once, by eviction.
func (s *sim) urgent() {
	k := &Kind{Name: "urgent", Size: place.Resources{CPU: 8000, Memory: 8 << 10}, Work: 4 * time.Minute}
	t := s.newTask(k)
	t.urgent = true
	var bestVM *vm
	var best place.Eviction
	for _, v := range s.vms {
		e, ok := place.ChooseVictims(s.candidates(v), v.Free, k.Size)
		if v.Free.Covers(k.Size) {
			s.start(v, t)
			return
		}
		if ok && (bestVM == nil || e.Cost < best.Cost) {
			bestVM, best = v, e
		}
	}
	if bestVM == nil {
		return
	}
	for _, victim := range best.Victims {
		for _, other := range bestVM.tasks {
			if other.id == int(victim.Attempt.Index) {
				s.evict(bestVM, other)
				break
			}
		}
	}
	s.start(bestVM, t)
}

func (s *sim) candidates(v *vm) []place.Victim {
	var list []place.Victim
	for _, t := range v.tasks {
		if t.urgent {
			continue
		}
		risk := s.now - t.savedAt
		if s.cfg.Evictor == Newest {
			risk = s.now - t.startedAt
		}
		list = append(list, place.Victim{
			Attempt: ident.Attempt{Task: ident.Task{Index: uint32(t.id)}}, Size: t.kind.Size,
			UnsavedWork: risk, Evictions: t.evictions,
		})
	}
	return list
}
