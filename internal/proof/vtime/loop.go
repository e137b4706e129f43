// Package vtime runs events in virtual time. Events at the same time run in the order in which
// they were scheduled.
package vtime

import (
	"container/heap"
	"time"
)

// Loop is an event queue with a virtual clock. The zero value has no events; set Now before the
// first call. It is not safe for concurrent use.
type Loop struct {
	Now   time.Time
	queue queue
	seq   int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

// After schedules a call of run at Now plus d.
func (l *Loop) After(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.queue, &event{l.Now.Add(d), l.seq, run})
}

// Run runs all events of the next d and advances Now by d.
func (l *Loop) Run(d time.Duration) {
	end := l.Now.Add(d)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e := heap.Pop(&l.queue).(*event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}

type queue []*event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
