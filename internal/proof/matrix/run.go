package matrix

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

// Injection says at which occurrence of a step a fault is injected.
type Injection struct {
	Step       world.Step
	Fault      Fault
	Occurrence int
}

// String returns the name of the fault and the step.
func (s Injection) String() string {
	return fmt.Sprintf("%s at %s (occurrence %d)", s.Fault.Name, s.Step, s.Occurrence)
}

// Result is the result of a run.
type Result struct {
	// Injected is set if all faults were injected. It is false if a step did not occur often
	// enough.
	Injected bool
	// Faults describes the violated invariants.
	Faults []string
}

const (
	// Times below count from the start of the run.

	// firstFaultTime is when faults may be injected first. The system is up by then.
	firstFaultTime = 2500 * time.Millisecond
	// workloadEnd is when the last request is sent and the last fault may be injected.
	// recoveryTime is when the first check is made; all faults of limited duration have
	// ended by then.
	workloadEnd  = 30 * time.Second
	recoveryTime = 60 * time.Second
	// endTime is when all work must have ended.
	endTime = 150 * time.Second
	// readInterval is the time between two reads of a job.
	readInterval = 400 * time.Millisecond
	// requestInterval is the time between two requests of callers.
	requestInterval = 150 * time.Millisecond
	// resendAfter is the time after which a caller sends a failed request again.
	resendAfter = 500 * time.Millisecond
	// maxSends is the number of times that a request with a caller-made id is sent.
	maxSends = 2
)

const firstConfig = `{
  "quota": {"cpu": 46},
  "services": {"registry": {"replicas": 4, "cpu": 1, "memory": "1GB", "slots": 4}},
  "batch": {
    "bulk": {"cpu": 1, "memory": "512MB", "maxFailures": 100},
    "rush": {"cpu": 3, "memory": "1GB", "urgent": true, "maxFailures": 100},
  },
}`

const secondConfig = `{
  "quota": {"cpu": 48}, // raised
  "services": {"registry": {"replicas": 5, "cpu": 1, "memory": "1GB", "slots": 4}},
  "batch": {
    "bulk": {"cpu": 1, "memory": "512MB", "maxFailures": 100},
    "rush": {"cpu": 3, "memory": "1GB", "urgent": true, "maxFailures": 100},
  },
}`

// run is one run of the workload with its faults.
type run struct {
	w          *world.World
	rnd        *rand.Rand
	readRnd    *rand.Rand
	injections []Injection
	// counts holds the occurrences of each step so far while faults may be injected.
	counts map[world.Step]int
	// injected is the number of faults injected so far.
	injected int
}

// Run runs the workload with the given faults and returns the result. If trace is not nil, the
// log lines of all processes are written to it.
func Run(seed uint64, trace io.Writer, injections ...Injection) Result {
	r := &run{
		w: world.New(seed), rnd: rand.New(rand.NewPCG(seed, 1)), readRnd: rand.New(rand.NewPCG(seed, 3)),
		injections: injections, counts: map[world.Step]int{},
	}
	if trace != nil {
		r.w.Trace(trace)
	}
	r.w.Hook = r.injectFaults
	for range 3 {
		r.w.AddEntry()
	}
	for range 6 {
		r.w.AddVM()
	}
	r.scheduleWorkload()
	r.w.Run(recoveryTime)
	for r.w.Elapsed() < endTime && len(r.w.Check()) > 0 {
		r.w.Run(time.Second)
	}
	return Result{Injected: r.injected == len(injections), Faults: r.w.Check()}
}

// injectFaults implements world.World.Hook: it injects the faults of a step. It returns true if
// the process died.
func (r *run) injectFaults(s world.Step, p *world.Proc) bool {
	if r.w.Elapsed() < firstFaultTime || r.w.Elapsed() > workloadEnd {
		return false
	}
	r.counts[s]++
	died := false
	for _, injection := range r.injections {
		if injection.Step == s && injection.Occurrence == r.counts[s] {
			r.injected++
			died = injection.Fault.injection(r, s, p) || died
		}
	}
	return died
}

// scheduleWorkload schedules the work of a run: two configurations, jobs that fill the VMs,
// urgent work, a cancellation, a VM that leaves, a VM that joins, and the death of the leader.
func (r *run) scheduleWorkload() {
	w := r.w
	at := func(d time.Duration, run func()) { w.After(d, run) }
	at(1500*time.Millisecond, func() { r.publish(0, firstConfig) })
	at(3*time.Second, func() { r.submit("first", "bulk", 50, 5*time.Second) })
	at(5*time.Second, func() { r.submit("urgent", "rush", 3, 2*time.Second) })
	at(6*time.Second, func() { r.cancelLater(r.submit("unwanted", "bulk", 12, 8*time.Second)) })
	at(9*time.Second, func() { r.publish(1, secondConfig) })
	at(9*time.Second, func() { r.publish(1, firstConfig+"\n// a rival\n") })
	at(10*time.Second, func() { w.VMs[5].Leave() })
	at(11*time.Second, func() { w.AddVM() })
	at(14*time.Second, r.killLeader)
	at(16*time.Second, func() { r.submit("second", "bulk", 20, 4*time.Second) })
	at(20*time.Second, func() { r.submit("urgent too", "rush", 2, 2*time.Second) })
	r.scheduleRequests()
	r.scheduleReads()
}

// scheduleReads schedules reads of random jobs at random entries until the recovery.
func (r *run) scheduleReads() {
	r.w.After(readInterval, func() {
		if s := r.w.History.Submissions; len(s) > 0 {
			e := r.w.Entries[r.readRnd.IntN(len(r.w.Entries))]
			e.ReadJob(s[r.readRnd.IntN(len(s))].Job)
		}
		if r.w.Elapsed() < recoveryTime {
			r.scheduleReads()
		}
	})
}

// scheduleRequests schedules the callers' requests until workloadEnd.
func (r *run) scheduleRequests() {
	r.w.After(requestInterval, func() {
		if r.w.Elapsed() > 2*time.Second {
			r.request()
		}
		if r.w.Elapsed() < workloadEnd {
			r.scheduleRequests()
		}
	})
}

// request sends one request. A third of the requests have an id that the caller made; if such a
// request fails, it is sent once more, to another entry.
func (r *run) request() {
	n := len(r.w.History.Calls)
	c := &world.Call{
		ID:         ulid.MustNew(ulid.Timestamp(r.w.Now), r).String(),
		Idempotent: n%3 == 0, Body: fmt.Appendf(nil, "request %d", n),
	}
	if n%3 == 1 {
		c.Stamp = ulid.MustParseStrict(c.ID).Timestamp()
	}
	r.w.History.Calls = append(r.w.History.Calls, c)
	r.send(c, r.rnd.IntN(len(r.w.Entries)))
}

func (r *run) send(c *world.Call, entry int) {
	finished := false
	finish := func(code codes.Code) {
		if finished {
			return
		}
		finished = true
		if code != codes.OK && !c.Stamp.IsZero() && c.SendCount < maxSends {
			r.w.After(resendAfter, func() { r.send(c, (entry+1)%len(r.w.Entries)) })
			return
		}
		c.Done, c.Code = true, code
	}
	r.w.Entries[entry].Do(c, "presses", "registry", finish)
	r.w.After(5*time.Second, func() { finish(codes.Unreachable) })
}

// Read implements io.Reader: it fills p with random bytes, for ulid.MustNew.
func (r *run) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rnd.Uint32())
	}
	return len(p), nil
}

// liveEntry returns the first entry from the given index on that is not dead, or the entry at
// the index if all are dead.
func (r *run) liveEntry(from int) *world.Entry {
	for i := range r.w.Entries {
		if e := r.w.Entries[(from+i)%len(r.w.Entries)]; !e.Dead {
			return e
		}
	}
	return r.w.Entries[from]
}

// maxAttempts is the number of times that an operator tries a call that fails.
const maxAttempts = 60

// publish publishes a configuration at one entry after the other until one takes it or reports
// that the base is stale.
func (r *run) publish(base uint64, body string) {
	attemptsLeft := maxAttempts
	var attempt func(entry int)
	attempt = func(entry int) {
		r.liveEntry(entry).Publish("presses", base, body, func(code codes.Code) {
			if attemptsLeft--; code != codes.OK && code != codes.ConfigStale && attemptsLeft > 0 {
				r.w.After(time.Second, func() { attempt(entry + 1) })
			}
		})
	}
	attempt(r.rnd.IntN(len(r.w.Entries)))
}

// submit submits a job at one entry after the other until one accepts it. It returns a function
// that returns the latest submission.
func (r *run) submit(key, kind string, tasks uint32, work time.Duration) func() *world.Submission {
	attemptsLeft := maxAttempts
	last, unknown := &world.Submission{}, false
	var attempt func(entry int)
	attempt = func(entry int) {
		last = r.liveEntry(entry).Submit("presses", key, kind, tasks, work, func(code codes.Code) {
			if attemptsLeft--; code == codes.OK || attemptsLeft == 0 {
				return
			}
			if unknown = unknown || code.Info().Ran == codes.RanUnknown; !unknown {
				key += "'" // no attempt has run so far, so that a new key cannot duplicate the job
			}
			r.w.After(time.Second, func() { attempt(entry + 1) })
		})
	}
	attempt(r.rnd.IntN(len(r.w.Entries)))
	return func() *world.Submission { return last }
}

// cancelLater cancels a job after 2 s and repeats this until an entry has carried it out.
func (r *run) cancelLater(latest func() *world.Submission) {
	attemptsLeft := maxAttempts
	var attempt func()
	attempt = func() {
		if attemptsLeft--; attemptsLeft > 0 && latest().CancelledAt.IsZero() {
			r.liveEntry(attemptsLeft).CancelJob("presses", latest())
			r.w.After(time.Second, attempt)
		}
	}
	r.w.After(2*time.Second, attempt)
}
