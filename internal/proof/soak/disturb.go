package soak

import (
	"sync"
	"time"
)

// disturbance records when a part of the system had faults. The zero value has had none.
type disturbance struct {
	mu sync.Mutex
	// active is the number of faults in effect, endsAt the time at which the last of the others
	// ended or will end.
	active int
	endsAt time.Time
}

// begin records that a fault begins, which lasts until end is called.
func (d *disturbance) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
	return func() {
		d.until(time.Now())
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active--
	}
}

// until records a fault that lasts until a time.
func (d *disturbance) until(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.After(d.endsAt) {
		d.endsAt = t
	}
}

// calmSince returns since when there has been no fault: now while one is in effect.
func (d *disturbance) calmSince(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active > 0 || d.endsAt.After(now) {
		return now
	}
	return d.endsAt
}
