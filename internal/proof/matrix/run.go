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

// Injection says which fault strikes at which occurrence of a step.
type Injection struct {
	Step       world.Step
	Fault      Fault
	Occurrence int
}

// String names the strike.
func (s Injection) String() string {
	return fmt.Sprintf("%s at %s (occurrence %d)", s.Fault.Name, s.Step, s.Occurrence)
}

// Result is what a run found.
type Result struct {
	// Injected is false if a step did not come that often.
	Injected bool
	Faults   []string
}

const (
	// faultsFrom is when faults may begin to strike, after the system is up.
	faultsFrom = 2500 * time.Millisecond
	// storyEnd is when the last new work comes, healed when all faults end.
	storyEnd = 30 * time.Second
	healed   = 60 * time.Second
	// limit is when all work must have ended.
	limit = 150 * time.Second
	// requestEvery spaces the callers' requests.
	requestEvery = 150 * time.Millisecond
	resendAfter  = 500 * time.Millisecond
	maxSendings  = 2
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

// run is one run of the story.
type run struct {
	w       *world.World
	rnd     *rand.Rand
	strikes []Injection
	counts  map[world.Step]int
	struck  int
}

// Run plays the story with strikes and returns what did not hold. Trace may be
// nil.
func Run(seed uint64, trace io.Writer, strikes ...Injection) Result {
	r := &run{
		w: world.New(seed), rnd: rand.New(rand.NewPCG(seed, 1)), strikes: strikes, counts: map[world.Step]int{},
	}
	if trace != nil {
		r.w.Trace(trace)
	}
	r.w.Hook = r.hook
	for range 3 {
		r.w.AddEntry()
	}
	for range 6 {
		r.w.AddVM()
	}
	r.story()
	r.w.Run(healed)
	for r.w.Since() < limit && len(r.w.Check()) > 0 {
		r.w.Run(time.Second)
	}
	return Result{Injected: r.struck == len(strikes), Faults: r.w.Check()}
}

func (r *run) hook(s world.Step, p *world.Proc) bool {
	if r.w.Since() < faultsFrom || r.w.Since() > storyEnd {
		return false
	}
	r.counts[s]++
	died := false
	for _, strike := range r.strikes {
		if strike.Step == s && strike.Occurrence == r.counts[s] {
			r.struck++
			died = strike.Fault.strike(r, s, p) || died
		}
	}
	return died
}

// story is the work of a run: configuration, jobs that fill the fleet, urgent
// work, a cancellation, a VM that leaves, one that comes, and the leader's end.
func (r *run) story() {
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
	r.requests()
}

func (r *run) requests() {
	r.w.After(requestEvery, func() {
		if r.w.Since() > 2*time.Second {
			r.request()
		}
		if r.w.Since() < storyEnd {
			r.requests()
		}
	})
}

// request sends one request; a caller that made its own id sends it once more,
// to another entry, if it got no answer.
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
		if code != codes.OK && !c.Stamp.IsZero() && c.Sendings < maxSendings {
			r.w.After(resendAfter, func() { r.send(c, (entry+1)%len(r.w.Entries)) })
			return
		}
		c.Done, c.Code = true, code
	}
	r.w.Entries[entry].Do(c, "presses", "registry", finish)
	r.w.After(5*time.Second, func() { finish(codes.Unreachable) })
}

// Read makes run a source of random bytes.
func (r *run) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rnd.Uint32())
	}
	return len(p), nil
}

// alive returns an entry that lives, the same for the same moment.
func (r *run) alive(from int) *world.Entry {
	for i := range r.w.Entries {
		if e := r.w.Entries[(from+i)%len(r.w.Entries)]; !e.Dead {
			return e
		}
	}
	return r.w.Entries[from]
}

// tries bounds how often an operator repeats what was refused for the time being.
const tries = 60

func (r *run) publish(base uint64, body string) {
	left := tries
	var again func(entry int)
	again = func(entry int) {
		r.alive(entry).Publish("presses", base, body, func(code codes.Code) {
			if left--; code != codes.OK && code != codes.ConfigStale && left > 0 {
				r.w.After(time.Second, func() { again(entry + 1) })
			}
		})
	}
	again(r.rnd.IntN(len(r.w.Entries)))
}

func (r *run) submit(key, kind string, tasks uint32, work time.Duration) func() *world.Submission {
	left := tries
	last, unknown := &world.Submission{}, false
	var again func(entry int)
	again = func(entry int) {
		last = r.alive(entry).Submit("presses", key, kind, tasks, work, func(code codes.Code) {
			if left--; code == codes.OK || left == 0 {
				return
			}
			if unknown = unknown || code.Info().Ran == codes.RanUnknown; !unknown {
				key += "'" // trusts the answer: what did not run may come under a new key
			}
			r.w.After(time.Second, func() { again(entry + 1) })
		})
	}
	again(r.rnd.IntN(len(r.w.Entries)))
	return func() *world.Submission { return last }
}

func (r *run) cancelLater(latest func() *world.Submission) {
	left := tries
	var again func()
	again = func() {
		if left--; left > 0 && latest().CancelledAt.IsZero() {
			r.alive(left).CancelJob("presses", latest())
			r.w.After(time.Second, again)
		}
	}
	r.w.After(2*time.Second, again)
}

// killLeader ends the entry that leads the cell, for good after a while.
func (r *run) killLeader() {
	for _, e := range r.w.Entries {
		if !e.Dead && e.Core.Fold().Cell("main").Leader == e.Core.Writer().ID() {
			r.kill(e.Proc)
			return
		}
	}
}

func (r *run) vm(p *world.Proc) *world.VM {
	for _, v := range r.w.VMs {
		if v.Proc == p {
			return v
		}
	}
	return nil
}

// kill ends a process, which starts again after a while without memory.
func (r *run) kill(p *world.Proc) {
	if p.Dead {
		return
	}
	for _, e := range r.w.Entries {
		if e.Proc == p {
			e.Kill()
			r.w.After(entryAway, e.Restart)
			return
		}
	}
	v := r.vm(p)
	v.Kill()
	if v.LeftAt.IsZero() {
		r.w.After(agentAway, func() { v.Restart(false) })
	}
}

// fail ends a whole VM, which is replaced after a while.
func (r *run) fail(p *world.Proc) {
	v := r.vm(p)
	v.Fail()
	r.w.After(vmAway, func() { v.Restart(true) })
}

// cut loses what a process sends, or gets, for a while.
func (r *run) cut(p *world.Proc, d time.Duration, from, to bool) {
	for _, other := range r.w.Procs() {
		if other == p {
			continue
		}
		if from {
			r.w.Cut(p, other, d)
		}
		if to {
			r.w.Cut(other, p, d)
		}
	}
}
