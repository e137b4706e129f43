package exec_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// script drives an agent through events that its bytes select: orders, lists of the worker, results
// of calls, and changes of leader, worker and process. It checks each call to start a run.
type script struct {
	data  []byte
	agent *exec.Agent
	now   time.Time
	epoch uint64
	// incarnation is that of the worker.
	incarnation int64
	// calls holds the calls without a result.
	calls []exec.Call
	// number is that of the worker's latest run end.
	number int64
	// starts counts the calls to start a run, wrong holds those with another payload or checkpoint
	// than the leader ordered.
	starts int
	wrong  []port.StartOrder
}

// next returns the next byte modulo n, 0 at the end of the script.
func (s *script) next(n int) int {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return int(b) % n
}

// run returns one of a few runs.
func (s *script) run() (task string, run uint32) {
	return fmt.Sprintf("00000000000000aa.0.0.%d", s.next(2)), uint32(1 + s.next(2))
}

// ordered returns what the leader orders for a run.
func ordered(task string, run uint32) msgs.Start {
	return msgs.Start{Task: task, Run: run, Payload: "payload of " + task, Checkpoint: fmt.Sprintf("%s before run %d", task, run), Percent: 100}
}

var scriptErrors = []error{
	nil, nil, errNoResponse, port.ErrRunFenced, port.ErrRunOver, port.ErrRunLate, port.ErrRunCapacity, port.ErrNotSent,
	port.ErrWorkerUnhealthy, port.ErrWorkerReplaced, port.ErrNoWorker, port.ErrNewConnection,
}

// play plays the whole script.
func (s *script) play() {
	s.now, s.epoch, s.incarnation = time.Unix(1000, 0), 1, 500
	s.restart()
	events := []func(){
		s.order, s.order, s.stop, s.poll, s.poll, s.poll, s.result, s.result, s.result, s.failPoll, s.grant, s.grant,
		func() { s.epoch++; s.connect() }, s.connect, func() { s.incarnation += 200; s.heartbeat() }, s.heartbeat,
		func() { s.now = s.now.Add(time.Duration(s.next(8)) * time.Second) }, s.restart,
		func() {
			s.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Incarnation: s.agent.VM().Incarnation, Number: s.number})
		},
	}
	for len(s.data) > 0 {
		s.now = s.now.Add(time.Millisecond)
		events[s.next(len(events))]()
		s.takeCalls()
	}
}

// restart replaces the agent's process.
func (s *script) restart() {
	s.agent, s.calls = exec.New("node-1", slog.New(slog.DiscardHandler)), nil
	s.heartbeat()
	s.connect()
	s.grant()
	s.poll()
}

func (s *script) connect() {
	s.agent.LeaderDisconnected()
	s.agent.LeaderConnected(s.epoch)
}

func (s *script) heartbeat() {
	s.agent.Heartbeat(s.now, port.Heartbeat{VM: msgs.VM{ID: "vm-1", Incarnation: s.incarnation, Capacity: place.Resources{CPU: 64000}}})
}

func (s *script) grant() {
	s.agent.LeaseRequest(s.now)
	for _, m := range s.agent.Messages() {
		if m.LeaseRequest != nil {
			s.agent.Lease(&msgs.Lease{Seq: m.LeaseRequest.Seq, ValidFor: lease})
		}
	}
}

func (s *script) order() {
	task, run := s.run()
	start := ordered(task, run)
	start.Repeated = s.next(2) == 1
	s.agent.Orders(s.now, &msgs.Orders{Epoch: s.epoch, VM: "vm-1", Incarnation: s.agent.VM().Incarnation, Starts: []msgs.Start{start}})
}

func (s *script) stop() {
	task, run := s.run()
	s.agent.Orders(s.now, &msgs.Orders{Epoch: s.epoch, VM: "vm-1", Incarnation: s.agent.VM().Incarnation, Stops: []msgs.Stop{{Task: task, Run: run}}})
}

// poll lets the worker list up to two present runs and one end.
func (s *script) poll() {
	p, ok := s.agent.Poll(s.now, false)
	if !ok {
		return
	}
	res := port.PollResult{Incarnation: s.incarnation, Clock: s.now.Sub(time.Unix(0, 0))}
	for range s.next(3) {
		task, run := s.run()
		res.Running = append(res.Running, msgs.RunStatus{Task: task, Run: run, Checkpoint: "listed"})
	}
	if s.next(3) == 2 {
		task, run := s.run()
		s.number++
		res.Ended = append(res.Ended, msgs.RunEnd{Number: s.number, Task: task, Run: run, Outcome: msgs.Stopped, Checkpoint: "ended"})
	}
	s.now = s.now.Add(time.Millisecond)
	s.agent.Polled(s.now, p, res, nil)
}

func (s *script) failPoll() {
	if p, ok := s.agent.Poll(s.now, false); ok {
		s.agent.Polled(s.now, p, port.PollResult{}, scriptErrors[2+s.next(len(scriptErrors)-2)])
	}
}

// result ends one of the calls without a result.
func (s *script) result() {
	if len(s.calls) == 0 {
		return
	}
	i := s.next(len(s.calls))
	c := s.calls[i]
	s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
	err := scriptErrors[s.next(len(scriptErrors))]
	if c.Start != nil {
		s.agent.Started(s.now, c, err)
	} else {
		s.agent.Stopped(s.now, c, err)
	}
}

// takeCalls takes the agent's calls and checks those that it would send.
func (s *script) takeCalls() {
	for _, c := range s.agent.Calls() {
		if c.Throttle != nil || !s.agent.Sends(s.now, c) {
			continue
		}
		s.calls = append(s.calls, c)
		if c.Start == nil {
			continue
		}
		s.starts++
		if want := ordered(c.Start.Task, c.Start.Run); c.Start.Payload != want.Payload || c.Start.Checkpoint != want.Checkpoint {
			s.wrong = append(s.wrong, *c.Start)
		}
	}
}

var _ = Describe("An agent in any sequence of events", func() {
	It("starts each run with the payload and the checkpoint that the leader ordered for it", func() {
		const seeds, length = 300, 2000
		starts := 0
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 39))
			s := script{data: make([]byte, length)}
			for i := range s.data {
				s.data[i] = byte(r.Uint32())
			}
			s.play()
			Expect(s.wrong).To(BeEmpty(), "seed %d", seed)
			starts += s.starts
		}
		Expect(starts).To(BeNumerically(">", 10*seeds))
	})
})

func FuzzStarts(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 6, 0, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := script{data: data}
		s.play()
		for _, o := range s.wrong {
			t.Errorf("the agent starts %+v", o)
		}
	})
}
