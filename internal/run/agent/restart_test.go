package agent_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/tasks"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/agent"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
	"github.com/ebonyarch/ebonyarch/platform"
	"github.com/ebonyarch/ebonyarch/platform/fake"
)

// vmScene is a worker that crashes and starts again under its id and address, the agent beside
// it, and the leader. The relay between agent and worker holds back the first copy of each start.
type vmScene struct {
	addr    string
	server  *http.Server
	witness tasks.Witness
	agent   *agent.Agent
	leader  netip.AddrPort

	// mu guards the fields below.
	mu sync.Mutex
	// born is the worker's incarnation.
	born int64
	// task is the task that the leader orders next, empty if there is none.
	task string
	// held is the held copy of the latest start. Its Task is empty if there is none.
	held port.StartOrder
	// done is set once the worker has learned that the end of the held start's run is stored.
	done bool
	// fenced is when the worker had responded to a poll with a higher token than that of the held
	// start, zero before.
	fenced time.Time
}

// listen starts an incarnation of the worker and returns when it listened.
func (s *vmScene) listen() time.Time {
	now := time.Now()
	s.mu.Lock()
	s.born = max(now.UnixMilli(), s.born+1)
	born := time.UnixMilli(s.born)
	s.mu.Unlock()
	w := fake.NewWorker(tasks.New(born, vm, place.Resources{CPU: 16000}, func(string, uint32) tasks.Plan {
		return tasks.Plan{Work: 20 * time.Millisecond, Size: place.Resources{CPU: 1000}}
	}, &s.witness))
	var ln net.Listener
	Eventually(func() (err error) {
		ln, err = net.Listen("tcp", s.addr)
		return err
	}, responseTimeout, "1ms").Should(Succeed())
	listening := time.Now()
	s.addr = ln.Addr().String()
	s.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, ConnContext: w.ConnContext}
	go s.server.Serve(ln)
	return listening
}

// startAgent starts a process of the agent.
func (s *vmScene) startAgent() {
	cfg := proc.JobAgent{Name: "node-1", PeerPort: s.leader.Port(), Seeds: proc.Seeds{s.leader}}
	s.agent = agent.New(cfg, &relayed{platform.NewWorker(netip.MustParseAddrPort(s.addr)), s}, nil, slog.New(slog.DiscardHandler))
	go s.agent.Run()
}

// heartbeat sends the worker's heartbeat to the agent.
func (s *vmScene) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agent.Heartbeat(port.Heartbeat{VM: msgs.VM{ID: vm, Incarnation: s.born, Service: "registry", Capacity: place.Resources{CPU: 16000}}})
}

// relayed is the worker behind the relay.
type relayed struct {
	*platform.Worker
	scene *vmScene
}

func (r *relayed) Start(ctx context.Context, o port.StartOrder) error {
	if r.scene.hold(o) {
		return context.DeadlineExceeded
	}
	return r.Worker.Start(ctx, o)
}

// hold holds back a start if it is the first one of its run.
func (s *vmScene) hold(o port.StartOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held.Task == o.Task {
		return false
	}
	s.held, s.done, s.fenced = o, false, time.Time{}
	return true
}

func (r *relayed) Poll(ctx context.Context, p port.Poll) (port.PollResult, error) {
	result, err := r.Worker.Poll(ctx, p)
	if err == nil {
		r.scene.polled(p, result)
	}
	return result, err
}

func (s *vmScene) polled(p port.Poll, result port.PollResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = s.done || p.Seen > 0 && len(result.Ended) == 0
	if result.Incarnation == s.born && p.FencingToken > s.held.FencingToken && s.fenced.IsZero() {
		s.fenced = time.Now()
	}
}

// lead answers the agent like a leader that stores run ends at once.
func (s *vmScene) lead(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			conn := peer.New(c)
			defer conn.Close()
			for {
				m, err := conn.Receive(responseTimeout)
				if err != nil {
					return
				}
				if m.Hello != nil {
					conn.Send(&msgs.Message{Welcome: &msgs.Welcome{Leading: true, Epoch: epoch, Leader: s.leader}})
				}
				if r := m.LeaseRequest; r != nil {
					conn.Send(&msgs.Message{Lease: &msgs.Lease{Seq: r.Seq, ValidFor: msgs.LeaseDuration}, Orders: s.orders(r)})
				}
				if r := m.Report; r != nil {
					conn.Send(&msgs.Message{EndsStored: &msgs.EndsStored{VM: r.VM, Incarnation: r.Incarnation, Number: r.Ends[len(r.Ends)-1].Number}})
				}
			}
		}()
	}
}

// orders returns the orders that follow a lease request, nil if there are none.
func (s *vmScene) orders(r *msgs.LeaseRequest) *msgs.Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.task == "" || !r.RunsListed || r.VM.Incarnation != s.born {
		return nil
	}
	start := msgs.Start{Task: s.task, Run: 1, Percent: 100}
	s.task = ""
	return &msgs.Orders{Epoch: epoch, VM: vm, Incarnation: s.born, Starts: []msgs.Start{start}}
}

// get returns a field of the scene.
func get[T any](s *vmScene, field *T) func() T {
	return func() T {
		s.mu.Lock()
		defer s.mu.Unlock()
		return *field
	}
}

var _ = Describe("A worker that crashes and starts again under its id and address", func() {
	var s *vmScene
	BeforeEach(func() {
		s = &vmScene{addr: "127.0.0.1:0"}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s.leader = netip.MustParseAddrPort(ln.Addr().String())
		go s.lead(ln)
		s.listen()
		s.startAgent()
		DeferCleanup(func() {
			s.agent.Close()
			s.agent.Wait()
			s.server.Close()
			ln.Close()
		})
	})

	// The copy of a repeated start arrived after the task was done and its end was acknowledged.
	DescribeTable("does not run a task again that is done, once the first poll has reached it", func(down time.Duration, restartAgent bool) {
		const restarts = 2
		for i := range restarts {
			task := fmt.Sprintf("%016x.0.0.0", i+1)
			s.heartbeat()
			s.mu.Lock()
			s.task = task
			s.mu.Unlock()
			Eventually(func() bool { return s.witness.Done(task) }, responseTimeout, "1ms").Should(BeTrue())
			Eventually(get(s, &s.done), responseTimeout, "1ms").Should(BeTrue())

			s.server.Close()
			if restartAgent {
				s.agent.Close()
				s.agent.Wait()
			}
			started := make(chan time.Time, 1)
			time.AfterFunc(down, func() {
				defer GinkgoRecover()
				started <- s.listen()
			})
			var listening time.Time
			Eventually(started, responseTimeout).Should(Receive(&listening))
			if restartAgent {
				s.startAgent()
			}
			Eventually(get(s, &s.fenced), responseTimeout, "1ms").ShouldNot(BeZero())
			AddReportEntry("until the first poll", s.fenced.Sub(listening))

			late := s.held
			late.Incarnation = 0 // the relay does not know it
			err := platform.NewWorker(netip.MustParseAddrPort(s.addr)).Start(context.Background(), late)
			Expect(err).To(MatchError(port.ErrRunFenced))
			Expect(s.witness.Starts(task)).To(Equal(1))
		}
		Expect(s.witness.Faults()).To(BeEmpty())
	},
		Entry("at once", time.Duration(0), false),
		Entry("after the agent took it for gone", 300*time.Millisecond, false),
		Entry("together with its agent", 50*time.Millisecond, true),
	)
})
