package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// heartbeatInterval is the time from one heartbeat of a worker to the next.
const heartbeatInterval = 1500 * time.Millisecond

// beat sends heartbeats to the agent on the worker's machine.
func (w *Worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.seq++
		body, err := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpus": 0}, "labels": w.labels,
			"clock_ms": w.clock(time.Now()).Milliseconds(), "seq": w.seq, "born": w.started.UnixMilli(),
		})
		w.mu.Unlock()
		if err != nil {
			panic(err)
		}
		wait := 100 * time.Millisecond
		resp, err := client.Post("http://"+w.registry+"/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				wait = heartbeatInterval
			}
		}
		time.Sleep(wait)
	}
}
