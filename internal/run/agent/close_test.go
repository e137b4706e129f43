package agent_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/agent"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

const (
	vm          = "vm-1"
	incarnation = 5
	epoch       = 1
	task        = "0000000000000001.0.0.0"
	// responseTimeout is how long a process may take to respond on a busy machine.
	responseTimeout = 10 * time.Second
)

// stuckWorker is a worker that answers polls and does not respond to stops. Its other methods are
// not called.
type stuckWorker struct {
	port.Executor
	startedAt time.Time
	stops     chan struct{}
}

func (w *stuckWorker) Poll(context.Context, port.Poll) (port.PollResult, error) {
	return port.PollResult{Incarnation: incarnation, Clock: time.Since(w.startedAt)}, nil
}

func (w *stuckWorker) Stop(ctx context.Context, _ port.Order) error {
	select {
	case w.stops <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return ctx.Err()
}

// lead answers an agent's messages on the connections that ln accepts: lease requests with a
// lease and the message that respond returns for them, other ones with what respond returns.
func lead(ln net.Listener, respond func(m *msgs.Message) *msgs.Message) {
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
				switch {
				case err != nil:
					return
				case m.Hello != nil:
					addr := netip.MustParseAddrPort(ln.Addr().String())
					conn.Send(&msgs.Message{Welcome: &msgs.Welcome{Leading: true, Epoch: epoch, Leader: addr}})
				default:
					out := respond(m)
					if m.LeaseRequest != nil {
						out.Lease = &msgs.Lease{Seq: m.LeaseRequest.Seq, ValidFor: msgs.LeaseDuration}
					}
					conn.Send(out)
				}
			}
		}()
	}
}

// newAgent returns an agent that follows the leader at ln.
func newAgent(ln net.Listener, w port.Executor) *agent.Agent {
	addr := netip.MustParseAddrPort(ln.Addr().String())
	return agent.New(proc.JobAgent{Name: "node-1", PeerPort: addr.Port(), Seeds: proc.Seeds{addr}}, w, nil, slog.New(slog.DiscardHandler))
}

var _ = Describe("An agent that is closed", func() {
	// A call that fails because the agent is closed was repeated at once, without end.
	It("ends while a call to its worker has no response", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go lead(ln, func(*msgs.Message) *msgs.Message {
			return &msgs.Message{Orders: &msgs.Orders{Epoch: epoch, VM: vm, Incarnation: incarnation, Stops: []msgs.Stop{{Task: task, Run: 1}}}}
		})
		w := &stuckWorker{startedAt: time.Now(), stops: make(chan struct{}, 1)}
		a := newAgent(ln, w)
		go a.Run()
		a.Heartbeat(port.Heartbeat{VM: msgs.VM{ID: vm, Incarnation: incarnation, Service: "registry"}})
		Eventually(w.stops, responseTimeout).Should(Receive())
		a.Close()
		ended := make(chan struct{})
		go func() {
			a.Wait()
			close(ended)
		}()
		Eventually(ended, responseTimeout).Should(BeClosed())
	})
})
