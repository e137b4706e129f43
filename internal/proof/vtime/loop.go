// Package vtime runs events in virtual time, in the order of their times and,
// for equal times, of their making.
package vtime

import (
	"container/heap"
	"time"
)

// Loop is a queue of events and the time that they have reached. The zero value
// is empty; set Now before the first event.
type Loop struct {
	Now   time.Time
	queue queue
	made  int
}

type event struct {
	at   time.Time
	made int
	run  func()
}

// After calls run when d has passed.
func (l *Loop) After(d time.Duration, run func()) {
	l.made++
	heap.Push(&l.queue, &event{l.Now.Add(d), l.made, run})
}

// Run lets d pass.
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
	return q[i].made < q[j].made
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
