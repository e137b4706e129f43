package intake

import (
	"container/list"
	"time"
)

// reserve counts n more bytes for a request. If they are not free, it gives up the stalest
// requests that are incomplete or wait for memory themselves, and waits until enough is released.
func (in *Intake) reserve(req *request, n int64) error {
	limit := in.Limits.orDefaults().Memory
	in.mu.Lock()
	req.progress = time.Now()
	defer in.stopWaiting(req)
	for {
		switch {
		case req.stop.closed:
			return errDropped
		case req.held+n > limit/2:
			in.counts.add(bodyTooLarge)
			return errTooLarge
		case in.used+n <= limit:
			in.used += n
			req.held += n
			return nil
		}
		if req.element == nil {
			req.element, req.waits = in.arriving.PushBack(req), true
		}
		victims := in.makeRoom(req, n, limit)
		if in.freed == nil {
			in.freed = make(chan struct{})
		}
		freed, stopped, deadline := in.freed, req.stop.wait(), req.deadline
		in.mu.Unlock()
		for _, v := range victims {
			v.abort()
		}
		inTime := waitUntil(deadline, freed, stopped)
		in.mu.Lock()
		if !inTime {
			in.counts.add(memoryTimedOut)
			return errNoMemory
		}
	}
}

// stopWaiting undoes what reserve has done to a complete request while it waited. It releases mu.
func (in *Intake) stopWaiting(req *request) {
	if req.waits && req.element != nil {
		in.arriving.Remove(req.element)
		req.element = nil
	}
	req.waits = false
	in.mu.Unlock()
}

// shrink lowers the memory that counts for a request to n bytes.
func (in *Intake) shrink(req *request, n int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if n >= req.held {
		return
	}
	if req.stop.closed {
		in.abandoned -= req.held - n
	}
	in.used -= req.held - n
	req.held = n
	in.wake()
}

// wake wakes the requests that wait for memory. The caller holds mu.
func (in *Intake) wake() {
	if in.freed != nil {
		close(in.freed)
		in.freed = nil
	}
}

// waitUntil waits for one of two channels, and reports false if the deadline passes before.
func waitUntil(deadline time.Time, a, b <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-a:
	case <-b:
	case <-timer.C:
		return false
	}
	return true
}

// makeRoom gives up incomplete requests until n bytes for req will be free or there is no further
// one, and returns those that are to be aborted. The caller holds mu.
func (in *Intake) makeRoom(req *request, n, limit int64) []*request {
	var victims []*request
	for in.used-in.abandoned+n > limit {
		v := in.stalestRequest(req)
		if v == nil {
			break
		}
		in.abandon(v, bodyDropped)
		victims = append(victims, v)
	}
	return victims
}

// stalestRequest returns the incomplete request, other than skip, that is to be given up first,
// nil if there is none. The caller holds mu.
func (in *Intake) stalestRequest(skip *request) *request {
	var skipped *list.Element
	if skip != nil {
		skipped = skip.element
	}
	e := stalest(&in.arriving, skipped, func(r *request) time.Time { return r.progress })
	if e == nil {
		return nil
	}
	return e.Value.(*request)
}

// abandon gives up an incomplete request. The caller holds mu, and calls abort once it has
// released it.
func (in *Intake) abandon(req *request, why cause) {
	in.arriving.Remove(req.element)
	req.element = nil
	req.stop.close()
	in.abandoned += req.held
	in.counts.add(why)
}
