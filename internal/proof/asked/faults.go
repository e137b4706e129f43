package asked

import (
	"sync"
	"time"
)

// Faults records when a part of the system had faults. The zero value has had none.
type Faults struct {
	mu sync.Mutex
	// active is the number of faults in effect, endsAt the time at which the last of the others
	// ended or will end.
	active int
	endsAt time.Time
}

// Begin records that a fault begins, which lasts until end is called.
func (f *Faults) Begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active++
	return func() {
		f.Until(time.Now())
		f.mu.Lock()
		defer f.mu.Unlock()
		f.active--
	}
}

// Until records a fault that lasts until a time.
func (f *Faults) Until(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.endsAt) {
		f.endsAt = t
	}
}

// CalmSince returns since when there has been no fault: now while one is in effect, the zero time
// if there never was one.
func (f *Faults) CalmSince(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active > 0 || f.endsAt.After(now) {
		return now
	}
	return f.endsAt
}
