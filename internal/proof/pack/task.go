package pack

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

type task struct {
	id   int
	kind *Kind
	work time.Duration
	// done is the work done, saved that at the latest checkpoint.
	done, saved time.Duration
	queuedAt    time.Duration
	startedAt   time.Duration
	savedAt     time.Duration
	share       uint32
	urgent      bool
	evictions   int
}

func (s *sim) newTask(k *Kind) *task {
	s.next++
	work := time.Duration((0.5 + s.rnd.Float64()) * float64(k.Work))
	return &task{id: s.next, kind: k, work: work, share: 100, queuedAt: s.now}
}

func (t *task) placed(now time.Duration) *place.Task {
	return &place.Task{Kind: "t/" + t.kind.Name, Size: t.kind.Size, Waited: now - t.queuedAt}
}

func (s *sim) start(v *vm, t *task) {
	t.startedAt, t.savedAt, t.share = s.now, s.now, 100
	t.done = t.saved
	v.Assign(t.placed(s.now))
	v.tasks = append(v.tasks, t)
}

// stop takes a task off its VM.
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

func (s *sim) evict(v *vm, t *task) {
	s.result.Evictions++
	s.result.Lost += t.done - t.saved
	t.evictions++
	s.stop(v, t)
	s.queue = append([]*task{t}, s.queue...)
}
