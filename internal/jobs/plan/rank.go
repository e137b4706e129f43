package plan

import "container/heap"

// Ranking holds the VMs that a stage's tasks may use, the one with the least cost first. It
// finds the same VMs as Choose, and evaluates only those that have changed. Create it with
// NewRanking.
type Ranking struct {
	task  *Task
	vms   []*VM
	queue rankQueue
}

// NewRanking ranks the VMs for tasks that are equal to t.
func NewRanking(t *Task, vms []*VM) *Ranking {
	r := &Ranking{task: t, vms: vms, queue: rankQueue{positions: make([]int, len(vms))}}
	for i, v := range vms {
		r.queue.positions[i] = absent
		if v.eligible(t) && v.fits(t) {
			r.queue.Push(ranked{i, v.cost(t)})
		}
	}
	heap.Init(&r.queue)
	return r
}

// Best returns the index of the VM on which placing the task costs least, or -1 if the task
// fits on none.
func (r *Ranking) Best() int {
	if r.queue.Len() == 0 {
		return -1
	}
	return r.queue.list[0].index
}

// Update ranks a VM again. It must be called when the VM has changed.
func (r *Ranking) Update(index int) {
	v, position := r.vms[index], r.queue.positions[index]
	fits := v.eligible(r.task) && v.fits(r.task)
	switch {
	case fits && position == absent:
		heap.Push(&r.queue, ranked{index, v.cost(r.task)})
	case fits:
		r.queue.list[position].cost = v.cost(r.task)
		heap.Fix(&r.queue, position)
	case position != absent:
		heap.Remove(&r.queue, position)
	}
}

// ranked is a VM in a rankQueue, by its index.
type ranked struct {
	index int
	cost  float64
}

// absent is the position of a VM that is not in the queue.
const absent = -1

// rankQueue is a heap of VMs with the lowest cost on top, of equal ones the first.
type rankQueue struct {
	list []ranked
	// positions holds the position of each VM in list, by the VM's index.
	positions []int
}

func (q *rankQueue) Len() int { return len(q.list) }

func (q *rankQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.index < b.index
}

func (q *rankQueue) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.positions[q.list[i].index], q.positions[q.list[j].index] = i, j
}

// Push implements heap.Interface. x is a ranked.
func (q *rankQueue) Push(x any) {
	r := x.(ranked)
	q.positions[r.index] = len(q.list)
	q.list = append(q.list, r)
}

// Pop implements heap.Interface.
func (q *rankQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	q.positions[last.index] = absent
	return last
}
