package pack

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// task is a batch task. Its times are virtual times since the start of the run.
type task struct {
	id   int
	kind *Kind
	// work is the run time of the whole task at full speed.
	work time.Duration
	// done is the part of work that is done. saved is its value at the latest
	// checkpoint.
	done, saved time.Duration
	queuedAt    time.Duration
	// startedAt is the time of the latest start.
	startedAt time.Duration
	// savedAt is the time of the latest checkpoint or start.
	savedAt time.Duration
	// speed is the speed limit in percent of full speed.
	speed  uint32
	urgent bool
	// evictions is the number of evictions of the task so far.
	evictions int
}

func (s *sim) newTask(k *Kind) *task {
	s.lastID++
	work := time.Duration((0.5 + s.rnd.Float64()) * float64(k.RunTime))
	return &task{id: s.lastID, kind: k, work: work, speed: 100, queuedAt: s.now}
}

// placementTask returns the task as the placement policy sees it.
func (t *task) placementTask(now time.Duration) *place.Task {
	return &place.Task{Kind: "t/" + t.kind.Name, Size: t.kind.Size, Waited: now - t.queuedAt}
}

// start starts a task on a VM from its latest checkpoint.
func (s *sim) start(v *vm, t *task) {
	t.startedAt, t.savedAt, t.speed = s.now, s.now, 100
	t.done = t.saved
	v.Assign(t.placementTask(s.now))
	v.tasks = append(v.tasks, t)
}

// stop removes a task from its VM.
func (s *sim) stop(v *vm, t *task) {
	rest := v.tasks[:0]
	for _, other := range v.tasks {
		if other != t {
			rest = append(rest, other)
		}
	}
	v.tasks = rest
	v.Free = v.Free.Plus(t.kind.Size)
	kinds := v.Kinds[:0]
	for _, other := range v.tasks {
		kinds = append(kinds, "t/"+other.kind.Name)
	}
	v.Kinds = kinds
}

// evict stops a task and puts it at the head of the queue.
func (s *sim) evict(v *vm, t *task) {
	s.result.Evictions++
	s.result.LostWork += t.done - t.saved
	t.evictions++
	s.stop(v, t)
	s.queue = append([]*task{t}, s.queue...)
}
