package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cancel freezes the leading entry. Meanwhile jobs are accepted by the next leader, and their
// callers cancel them over connections to the frozen entry that were open before. After a
// cancel was acknowledged, none of the job's tasks may start for longer than cancel_ms.
func cancel(f *fleet, trouble bool) int {
	const (
		jobs     = 8
		freeze   = 4 * time.Second
		cancelIn = 3 * time.Second // cancel_ms
	)
	leader := f.leader()
	if leader < 0 {
		return unable
	}
	other := 1 - leader
	clients := make([]*http.Client, jobs)
	for i := range clients {
		clients[i] = &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
		f.callWith(clients[i], leader, http.MethodGet, prefix, "")
	}
	began := time.Now()
	if trouble {
		f.log("SIGSTOP to %s, which leads", f.entries[leader].name)
		f.signal(f.entries[leader], syscall.SIGSTOP)
	}
	time.Sleep(2400 * time.Millisecond) // two checks of readiness have failed by then
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("5c0e7a21d94c%04x", i)
		body := `{"spec":"work 3500ms","steps":[{"count":1,"cpu":240,"mem_mb":480,"estimate_ms":3500},{"count":1,"cpu":240,"mem_mb":480,"estimate_ms":3500,"after":[0]},{"count":1,"cpu":240,"mem_mb":480,"estimate_ms":3500,"after":[1]}]}`
		if status, _ := f.call(other, http.MethodPost, prefix+ids[i], body); status != http.StatusOK {
			return unable
		}
	}
	acked := make([]time.Time, jobs)
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() {
			if status, _ := f.callWith(clients[i], leader, http.MethodDelete, prefix+ids[i], ""); status == http.StatusOK || status == http.StatusGone {
				acked[i] = time.Now()
			}
		})
	}
	time.Sleep(time.Until(began.Add(freeze)))
	if trouble {
		f.log("SIGCONT to %s", f.entries[leader].name)
		f.signal(f.entries[leader], syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	result := held
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		for i, id := range ids {
			late := time.UnixMilli(e.Unix).Sub(acked[i])
			if e.What == "start" && strings.HasPrefix(e.Task, id) && !acked[i].IsZero() && late > cancelIn {
				f.write("%s started %s after the acknowledgement of its job's cancelling", e.Task, late.Round(time.Millisecond))
				result = broken
			}
		}
	}
	return result
}
