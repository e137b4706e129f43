package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// startFleet starts a store, entries and VMs, and waits until tasks run on both kinds of VM.
func startFleet(deployFile, recordFile string, entries int) *fleet {
	out, err := os.Create(recordFile)
	if err != nil {
		fail(err.Error())
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail(err.Error())
	}
	self, err := os.Executable()
	if err != nil {
		fail(err.Error())
	}
	f := &fleet{commands: readCommands(deployFile), self: self, dir: dir, startedAt: time.Now(), out: out, peerPort: freePort()}
	go f.guard()
	f.store = fmt.Sprintf("%s:%d", ip(0), freePort())
	f.start(&process{name: "store", args: []string{self, "store", f.store}})
	f.configure()
	var seeds []string
	callers, health, admin := freePort(), freePort(), freePort()
	for i := range min(entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(1+i), f.peerPort))
	}
	for i := range entries {
		name, addr := fmt.Sprintf("front-%d", i+1), ip(1+i)
		file := f.settings(name, map[string]any{
			"name": name, "zone": "z1", "callers": fmt.Sprintf("%s:%d", addr, callers), "health": fmt.Sprintf("%s:%d", addr, health),
			"peers": fmt.Sprintf("%s:%d", addr, f.peerPort), "admin": fmt.Sprintf("%s:%d", addr, admin), "store": f.store,
			"processors": 0.4, "seeds": seeds,
		})
		p := &process{name: name, args: f.command("entry", file)}
		f.entries, f.callers = append(f.entries, p), append(f.callers, fmt.Sprintf("%s:%d", addr, callers))
		f.admins = append(f.admins, fmt.Sprintf("%s:%d", addr, admin))
		f.start(p)
	}
	registry, app := freePort(), freePort()
	for i := range vms {
		name, addr := fmt.Sprintf("side-%d", i+1), ip(1+entries+i)
		file := f.settings(name, map[string]any{
			"name": name, "zone": "z1", "registry": fmt.Sprintf("%s:%d", addr, registry), "admin": fmt.Sprintf("%s:%d", addr, admin),
			"worker": fmt.Sprintf("%s:%d", addr, app), "peerPort": f.peerPort, "store": f.store, "seeds": seeds,
		})
		f.start(&process{name: name, args: f.command("agent", file)})
		label := plain
		if i == vms-1 {
			label = special
		}
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		w := &process{name: fmt.Sprintf("worker-%d", i+1), args: []string{
			self, "worker", fmt.Sprintf("%s:%d", addr, app), fmt.Sprintf("%s:%d", addr, registry), id, service, label, "16000", "62500",
		}}
		f.workers, f.workerAddrs = append(f.workers, w), append(f.workerAddrs, w.args[2])
		f.start(w)
	}
	f.warmUp()
	return f
}

// configure writes the first configuration as the operator.
func (f *fleet) configure() {
	body := fmt.Sprintf(`{"version":3,"routes":[{"name":"tally","host":%q,"path_prefix":%q,"service":%q,"kind":"unsafe",`+
		`"timeout_ms":3000,"target_latency_ms":250,"priority":0,"max_attempts":%d,"stretch":1.5}],`+
		`"services":[{"name":%q,"enforces_capacity":false}],"limits":{"max_body_bytes":262144}}`, host, prefix, service, maxAttempts, service)
	for range 100 {
		resp, err := http.Post("http://"+f.store+"/operator?key=config", "application/json", strings.NewReader(body))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.close()
	fail("the store does not start")
}

// warmUp waits until a job has been completed on each kind of VM.
func (f *fleet) warmUp() {
	until := time.Now().Add(20 * time.Second)
	for i, label := range []string{plain, special} {
		id := fmt.Sprintf("%016x", 0xaa00+i)
		for f.submit(id, label, "work 50ms") != http.StatusOK || f.state(id) != "completed" {
			if time.Now().After(until) {
				f.close()
				fail("the deployment does not start")
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
}
