package entry_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
)

// narrowLinkTime is how long an entry with a link of 2 Mbit/s takes to read 200 jobs with
// payloads of 4 KB.
const narrowLinkTime = 5 * time.Second

// narrowStore is a store from which the state of all jobs is read over a narrow link.
type narrowStore struct {
	platformStore
	// loaded is closed when the link has delivered the state to a new leader.
	loaded chan struct{}

	mu sync.Mutex
	// claimed is set once an entry has claimed the leadership and reads the state. Until then
	// entries only look for an earlier claim. timeLeft is the least time that a read may take.
	claimed  bool
	timeLeft time.Duration
}

func (s *narrowStore) Append(ctx context.Context, w port.Write) (port.Position, error) {
	if w.Topic == "jobs" {
		s.mu.Lock()
		s.claimed = true
		s.mu.Unlock()
	}
	return s.platformStore.Append(ctx, w)
}

func (s *narrowStore) Newest(ctx context.Context, topic string) ([]port.Record, port.Position, error) {
	if topic != "jobs" {
		return s.platformStore.Newest(ctx, topic)
	}
	s.mu.Lock()
	claimed := s.claimed
	if end, ok := ctx.Deadline(); ok {
		s.timeLeft = min(s.timeLeft, time.Until(end))
	}
	s.mu.Unlock()
	if claimed {
		select {
		case <-s.loaded:
		case <-ctx.Done():
			return nil, port.Position{}, ctx.Err()
		}
	}
	return s.platformStore.Newest(ctx, topic)
}

func (s *narrowStore) leastTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timeLeft
}

// After a loss of power, entries with narrow links could not read the state in time: none
// learned the latest epoch or led again.
var _ = Describe("An entry with a narrow link", func() {
	It("reads the state for as long as it makes progress, and keeps others from claiming meanwhile", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		store := &narrowStore{
			platformStore: platformStore{&topics.Store{}, []int64{1}, make(chan struct{})},
			loaded:        make(chan struct{}), timeLeft: time.Hour,
		}
		e := entry.New(proc.JobEntry{Name: "e", Peers: addr}, store, nil, slog.New(slog.DiscardHandler))
		go e.Run()
		go e.Serve(ln)
		DeferCleanup(e.Close)
		loading := func() msgs.Welcome { return *connect(addr, msgs.Hello{Node: "other", Entry: true}) }
		Eventually(loading, responseTimeout).Should(And(
			HaveField("Leading", false), HaveField("Epoch", uint64(1)), HaveField("LeaderHeard", time.Duration(0)),
		))
		close(store.loaded)
		Eventually(loading, responseTimeout).Should(HaveField("Leading", true))
		Expect(store.leastTime()).To(BeNumerically(">", narrowLinkTime))
	})
})
