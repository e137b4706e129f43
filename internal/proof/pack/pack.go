// Package pack runs the placement of batch tasks in virtual time on fake VMs where
// batch tasks slow services down, and compares placement and eviction policies.
// Measurements of the slowdown become known with a delay.
package pack

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/sched/learn"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// Kind is a kind of batch task.
type Kind struct {
	Name string
	Size place.Resources
	// RunTime is the mean run time at full speed.
	RunTime time.Duration
	// ServiceSlowdown is the relative slowdown of each service on the VM by one
	// task at full speed.
	ServiceSlowdown float64
}

// EvictionPolicy is how tasks are chosen that an urgent task evicts.
type EvictionPolicy uint8

// The eviction policies. EvictCheapest prefers the tasks with the least work since
// their latest checkpoint, EvictNewest those that started last.
const (
	EvictCheapest EvictionPolicy = iota
	EvictNewest
)

// Config holds the parameters of a run.
type Config struct {
	Seed uint64
	// VMs is the number of VMs. Every second one runs a service.
	VMs int
	// RunDuration is the virtual duration of the run.
	RunDuration time.Duration
	// Learning makes measured slowdowns update the estimates.
	Learning bool
	// Policy returns the placement policy, which may use the estimates.
	Policy         func(estimates *learn.Model) place.Policy
	EvictionPolicy EvictionPolicy
	// UrgentInterval is the mean time between arrivals of urgent tasks, or 0 for
	// none.
	UrgentInterval time.Duration
	// MeasurementLag is the time after which a measured slowdown becomes known.
	MeasurementLag time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	// FinishedCPUTime is the processor time of the finished batch tasks.
	FinishedCPUTime time.Duration
	// FinishedTasks is the number of finished batch tasks.
	FinishedTasks int
	// Slowdown is the mean relative slowdown of the services.
	Slowdown float64
	// Evictions is the number of evictions for urgent tasks and by the guard.
	Evictions int
	// LostWork is the run time at full speed that evictions lost.
	LostWork time.Duration
}

const (
	// tick is the virtual time that one round of the simulation takes.
	tick = time.Second
	// checkpointInterval is the time between two checkpoints of a task.
	checkpointInterval = 5 * time.Minute
	// serviceTime is the mean service time of the service without a slowdown.
	serviceTime = 10 * time.Millisecond
	// latencyTarget is the latency target of the service.
	latencyTarget = 14 * time.Millisecond
	// backlog is the number of waiting tasks that fillQueue maintains.
	backlog = 200
)

// Kinds returns the kinds of batch tasks: classifications, which slow services down
// most, re-runs with much memory, small tallies, and corridors, mixed work that
// needs the most processors.
func Kinds() []Kind {
	return []Kind{
		{"classify", place.Resources{CPU: 4000, Memory: 4 << 10}, 12 * time.Minute, 0.30},
		{"rerun", place.Resources{CPU: 2000, Memory: 24 << 10}, 25 * time.Minute, 0.02},
		{"tally", place.Resources{CPU: 1000, Memory: 2 << 10}, 5 * time.Minute, 0.06},
		{"corridor", place.Resources{CPU: 6000, Memory: 10 << 10}, 18 * time.Minute, 0.12},
	}
}

// sim is the state of a run.
type sim struct {
	cfg Config
	rnd *rand.Rand
	// now is the virtual time since the start.
	now time.Duration
	vms []*vm
	// queue holds the waiting tasks, the first to place first.
	queue []*task
	// estimates holds the slowdowns learned from measurements.
	estimates learn.Model
	policy    place.Policy
	// lastID is the id of the newest task.
	lastID int
	// period is the number of 7-minute periods that have passed. It selects the kind
	// that is most frequent among new tasks.
	period int
	result Result
	// samples is the number of slowdowns summed up in result.Slowdown.
	samples int
}

// startTime is the time at which every run starts.
var startTime = time.Unix(1_800_000_000, 0)

// Run simulates a run and returns its result.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11))}
	s.policy = cfg.Policy(&s.estimates)
	for i := range cfg.VMs {
		capacity := place.Resources{CPU: 16_000, Memory: 60 << 10}
		v := &vm{VM: place.VM{Name: strconv.Itoa(i), Capacity: capacity, Free: capacity}}
		if i%2 == 0 {
			v.Assign(&place.Task{Kind: "t/registry", Size: place.Resources{CPU: 4000, Memory: 8 << 10}, Service: true})
			v.guard.SetTarget("t/registry", latencyTarget)
		}
		s.vms = append(s.vms, v)
	}
	nextUrgent := cfg.UrgentInterval
	for s.now < cfg.RunDuration {
		s.fillQueue()
		if cfg.UrgentInterval > 0 && s.now >= nextUrgent {
			nextUrgent += time.Duration(s.rnd.ExpFloat64() * float64(cfg.UrgentInterval))
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

// fillQueue adds tasks until the backlog is complete. About half of them are of one
// kind, which changes every 7 minutes; the others are of random kinds.
func (s *sim) fillQueue() {
	if int(s.now/(7*time.Minute)) != s.period {
		s.period = int(s.now / (7 * time.Minute))
	}
	kinds := Kinds()
	for len(s.queue) < backlog {
		i := s.rnd.IntN(len(kinds))
		if s.rnd.IntN(2) == 0 {
			i = s.period % len(kinds)
		}
		s.queue = append(s.queue, s.newTask(&kinds[i]))
	}
}

// place starts the waiting tasks for which the policy finds a VM, in order. Tasks
// without one do not block later ones.
func (s *sim) place() {
	views := make([]*place.VM, len(s.vms))
	for i, v := range s.vms {
		views[i] = &v.VM
	}
	s.updateWaitingKinds()
	var rest []*task
	for _, t := range s.queue {
		wanted := t.placementTask(s.now)
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

// updateWaitingKinds tells the policy how many tasks of each kind wait.
func (s *sim) updateWaitingKinds() {
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

// urgent creates an urgent task and starts it on the first VM with enough free
// capacity, or else on the VM with the lowest cost of evictions. If there is none,
// the task is dropped.
func (s *sim) urgent() {
	k := &Kind{Name: "urgent", Size: place.Resources{CPU: 8000, Memory: 8 << 10}, RunTime: 4 * time.Minute}
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

// candidates returns the tasks of a VM that may be evicted. As their unsaved work, it
// reports the time since the latest checkpoint or, under EvictNewest, since the start.
func (s *sim) candidates(v *vm) []place.Victim {
	var list []place.Victim
	for _, t := range v.tasks {
		if t.urgent {
			continue
		}
		unsavedWork := s.now - t.savedAt
		if s.cfg.EvictionPolicy == EvictNewest {
			unsavedWork = s.now - t.startedAt
		}
		list = append(list, place.Victim{
			Attempt: ident.Attempt{Task: ident.Task{Index: uint32(t.id)}}, Size: t.kind.Size,
			UnsavedWork: unsavedWork, Evictions: t.evictions,
		})
	}
	return list
}
