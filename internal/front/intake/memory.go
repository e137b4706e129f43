package intake

import (
	"container/list"
	"time"
)

// maxHeld returns the memory that one request may hold, in bytes.
func (in *Intake) maxHeld() int64 { return in.Limits.orDefaults().Memory / 2 }

// reserve counts n more bytes for a request. If they are not free, it gives up the stalest
// requests of those that hold memory and are incomplete or wait for more, and waits until enough is
// released.
func (in *Intake) reserve(req *request, n int64) error {
	limit := in.Limits.orDefaults().Memory
	in.mu.Lock()
	defer in.mu.Unlock()
	req.progress = time.Now()
	for {
		switch {
		case req.stop.closed:
			return errDropped
		case req.held+n > in.maxHeld():
			in.counts.add(bodyTooLarge)
			return errTooLarge
		case in.used+n <= limit:
			in.grant(req, n)
			return nil
		}
		if req.holding == nil && req.held > 0 {
			req.holding = in.holding.PushBack(req)
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
		inTime := waitUntil(deadline, freed, stopped, req.left)
		in.mu.Lock()
		if !inTime {
			if req.arriving == nil {
				in.unlist(req)
			}
			in.counts.add(memoryTimedOut)
			return errNoMemory
		}
	}
}

// grant counts n free bytes for a request. Only an incomplete one may be given up for them. The
// caller holds mu.
func (in *Intake) grant(req *request, n int64) {
	in.used += n
	req.held += n
	switch {
	case req.arriving != nil && req.holding == nil:
		req.holding = in.holding.PushBack(req)
	case req.arriving == nil && req.holding != nil:
		in.unlist(req)
	}
}

// unlist removes a request from those that may be given up. The caller holds mu.
func (in *Intake) unlist(req *request) {
	if req.arriving != nil {
		in.arriving.Remove(req.arriving)
		req.arriving = nil
	}
	if req.holding != nil {
		in.holding.Remove(req.holding)
		req.holding = nil
	}
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

// waitUntil waits for one of two channels, and reports false if the deadline passes or the client
// leaves before.
func waitUntil(deadline time.Time, a, b, left <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-a:
	case <-b:
	case <-left:
		return false
	case <-timer.C:
		return false
	}
	return true
}

// makeRoom gives up requests until n bytes for req will be free or there is no further one, and
// returns those that are to be aborted. The caller holds mu.
func (in *Intake) makeRoom(req *request, n, limit int64) []*request {
	var victims []*request
	for in.used-in.abandoned+n > limit {
		v := stalestRequest(&in.holding, req.holding)
		if v == nil {
			break
		}
		in.abandon(v, bodyDropped)
		victims = append(victims, v)
	}
	return victims
}

// stalestRequest returns the request of a list that is to be given up first, nil if there is none.
// skip is left out.
func stalestRequest(l *list.List, skip *list.Element) *request {
	e := stalest(l, skip, func(r *request) time.Time { return r.progress })
	if e == nil {
		return nil
	}
	return e.Value.(*request)
}

// abandon gives up a request. The caller holds mu, and calls abort once it has released it.
func (in *Intake) abandon(req *request, why cause) {
	in.unlist(req)
	req.stop.close()
	in.abandoned += req.held
	in.counts.add(why)
}
