package entry_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// slowClaims is a store that holds back claims. It answers entries only once it has reported
// the configuration, without which they do not claim.
type slowClaims struct {
	platformStore
	// claimed is closed when a claim has arrived; the claim goes on once mayClaim is closed.
	claimed, mayClaim chan struct{}
	once              sync.Once
}

func (s *slowClaims) Append(ctx context.Context, w port.Write) (port.Position, error) {
	if w.Topic == "jobs" {
		s.once.Do(func() { close(s.claimed) })
		<-s.mayClaim
	}
	return s.platformStore.Append(ctx, w)
}

func (s *slowClaims) Newest(ctx context.Context, topic string) ([]port.Record, port.Position, error) {
	<-s.reported
	return s.platformStore.Newest(ctx, topic)
}

// lateAnswer is an entry that answers a survey only once the entry that asks leads. Its answer
// then names itself as the leader of epoch 9.
func lateAnswer(ln net.Listener, asked chan<- struct{}) {
	leads := make(chan struct{})
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			conn := peer.New(c)
			defer conn.Close()
			m, err := conn.Receive(time.Minute)
			if err != nil || m.Hello == nil {
				return
			}
			if m.Hello.Leading {
				close(leads) // the new leader announces itself
				return
			}
			asked <- struct{}{}
			<-leads
			conn.Send(&msgs.Message{Welcome: &msgs.Welcome{Leading: true, Epoch: 9, Leader: ln.Addr().(*net.TCPAddr).AddrPort()}})
			_, _ = conn.Receive(time.Minute) // until the other side closes the connection
		}()
	}
}

// An entry claims to replace its leader, loses the connection to it, and asks the others for a
// leader. One of them knows of a later leader, but says so only after the claim succeeded. The
// entry used to append in the later epoch then.
var _ = Describe("An entry that hears of a later leader from a survey", func() {
	It("stops leading", func() {
		others, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(others.Close)
		asked := make(chan struct{}, 8)
		go lateAnswer(others, asked)
		other := others.Addr().(*net.TCPAddr).AddrPort()
		first := newLeader(1, &msgs.Ping{Epoch: 1, Entries: []netip.AddrPort{other}, Yield: true})
		claim, err := codec.Marshal([]any{1, first.addr(), "first"})
		Expect(err).NotTo(HaveOccurred())
		store := &slowClaims{
			platformStore: platformStore{&topics.Store{}, []int64{1}, make(chan struct{})},
			claimed:       make(chan struct{}), mayClaim: make(chan struct{}),
		}
		store.Put("jobs", port.Record{Key: "leader", Value: claim})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		e := entry.New(proc.JobEntry{Name: "e", Peers: addr}, store, nil, slog.New(slog.DiscardHandler))
		go e.Run()
		DeferCleanup(e.Close)
		Eventually(store.claimed, responseTimeout).Should(BeClosed())
		first.stop()
		Eventually(asked, responseTimeout).Should(Receive())
		close(store.mayClaim)
		go e.Serve(ln)
		ask := func(g Gomega) msgs.Welcome {
			conn, w, err := peer.Connect(context.Background(), addr, msgs.Hello{Node: "agent"})
			g.Expect(err).NotTo(HaveOccurred(), "an entry that stops leading closes its connections")
			conn.Close()
			return *w
		}
		Eventually(ask, responseTimeout).Should(And(HaveField("Epoch", uint64(9)), HaveField("Leading", false)))
	})
})
