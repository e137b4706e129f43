package entry_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
)

// refusingStore refuses all appends of batches while refuses is set, and counts them.
type refusingStore struct {
	platformStore
	refuses atomic.Bool
	refused atomic.Int64
}

func (s *refusingStore) Append(ctx context.Context, w port.Write) (port.Position, error) {
	if w.Topic == "jobs" && s.refuses.Load() {
		s.refused.Add(1)
		return port.Position{}, port.ErrStoreRefused
	}
	return s.platformStore.Append(ctx, w)
}

// startLeader starts the only entry of a system and waits until it leads.
func startLeader(store *refusingStore, cfg proc.JobEntry) (*entry.Entry, netip.AddrPort) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	cfg.Name, cfg.Peers = "e", ln.Addr().(*net.TCPAddr).AddrPort()
	e := entry.New(cfg, store, nil, slog.New(slog.DiscardHandler))
	go e.Run()
	go e.Serve(ln)
	DeferCleanup(e.Close)
	Eventually(func() bool { return connect(cfg.Peers, msgs.Hello{Node: "other", Entry: true}).Leading }, responseTimeout).Should(BeTrue())
	return e, cfg.Peers
}

// handInTo submits a job with a payload to an entry and returns the response's code.
func handInTo(e *entry.Entry, id model.ID, payload string) codes.Code {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	req := submission(id)
	req.Spec.Payload = payload
	return e.JobRequest(ctx, req).Code
}

// Leaders that had been replaced went on to repeat their last append, several of them at once.
var _ = Describe("An entry that has stopped leading", func() {
	It("appends nothing more", func() {
		store := &refusingStore{platformStore: platformStore{&topics.Store{}, []int64{1}, make(chan struct{})}}
		e, addr := startLeader(store, proc.JobEntry{})
		store.refuses.Store(true)
		go handInTo(e, "00000000000000aa", "")
		Eventually(store.refused.Load, responseTimeout).Should(BeNumerically(">", 1))
		later := newManualLeader(1000, true)
		connect(addr, msgs.Hello{Node: "later", Entry: true, Leading: true, Epoch: 1000, Addr: later.addr})
		// An append that the store was refusing just then may be counted once more.
		atEnd := store.refused.Load() + 1
		Consistently(store.refused.Load, 500*time.Millisecond).Should(BeNumerically("<=", atEnd))
	})
})

// The store of this deployment takes smaller records than the settings say, so it rejects a job
// that the leader accepts.
var _ = Describe("A leader with a job that the store rejects", func() {
	It("keeps leading, refuses that job and accepts the others", func() {
		limited := &topics.Store{Limits: port.Limits{Record: 2000}}
		store := &refusingStore{platformStore: platformStore{limited, []int64{1}, make(chan struct{})}}
		e, addr := startLeader(store, proc.JobEntry{})
		epoch := connect(addr, msgs.Hello{Node: "other", Entry: true}).Epoch
		Expect(handInTo(e, "00000000000000aa", strings.Repeat("x", 3000))).To(Equal(codes.JobInvalid))
		Expect(handInTo(e, "00000000000000ab", "")).To(Equal(codes.OK))
		Expect(limited.Rejected()).To(BeNumerically("<=", 3))
		Expect(connect(addr, msgs.Hello{Node: "other", Entry: true}).Epoch).To(Equal(epoch))
	})

	It("refuses it at once if the settings tell the limit", func() {
		limited := &topics.Store{Limits: port.Limits{Record: 2000}}
		store := &refusingStore{platformStore: platformStore{limited, []int64{1}, make(chan struct{})}}
		e, _ := startLeader(store, proc.JobEntry{RecordBytes: 2000})
		Expect(handInTo(e, "00000000000000aa", strings.Repeat("x", 3000))).To(Equal(codes.JobInvalid))
		Expect(limited.Rejected()).To(BeZero())
	})
})
