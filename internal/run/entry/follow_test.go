package entry_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/topics"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

// responseTimeout is how long a caller waits for a response. It is far below the time for
// which an entry with 54 others before it used to wait until it claims.
const responseTimeout = 3 * time.Second

// platformStore is the store with the configurations that it reports, one after the other.
type platformStore struct {
	*topics.Store
	versions []int64
	// reported is closed once all of them were reported.
	reported chan struct{}
}

func (s platformStore) Watch(ctx context.Context, changed func(model.Config)) {
	for _, v := range s.versions {
		changed(model.Config{Version: v})
	}
	close(s.reported)
	<-ctx.Done()
}

// leader is a process that leads as far as its messages say.
type leader struct {
	listener net.Listener
	// requests gets the jobs of the requests that arrive.
	requests chan model.ID
	// pings holds further pings, for all processes together.
	pings chan *msgs.Ping
	// silent is set if the leader responds to no requests.
	silent atomic.Bool
	// stopped is closed by stop.
	stopped chan struct{}
}

// stop ends the leader's process: its connections break, and nothing listens at its address.
func (l *leader) stop() {
	l.listener.Close()
	close(l.stopped)
}

// newLeader returns a leader that welcomes all processes, sends them the pings, and responds
// to requests.
func newLeader(epoch uint64, pings ...*msgs.Ping) *leader {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { ln.Close() }) // stop may have closed it
	l := &leader{listener: ln, requests: make(chan model.ID, 64), stopped: make(chan struct{}), pings: make(chan *msgs.Ping)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(peer.New(conn), epoch, pings)
		}
	}()
	return l
}

func (l *leader) addr() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// trySend sends a ping, unless no process is connected.
func (l *leader) trySend(p *msgs.Ping) {
	select {
	case l.pings <- p:
	case <-time.After(50 * time.Millisecond):
	}
}

// ping sends the further pings until the leader stops.
func (l *leader) ping(conn *peer.Conn) {
	for {
		select {
		case p := <-l.pings:
			conn.Send(&msgs.Message{Ping: p})
		case <-l.stopped:
			conn.Close()
			return
		}
	}
}

func (l *leader) serve(conn *peer.Conn, epoch uint64, pings []*msgs.Ping) {
	defer conn.Close()
	go l.ping(conn)
	for {
		m, err := conn.Receive(time.Minute)
		if err != nil {
			return
		}
		switch {
		case m.Hello != nil:
			conn.Send(&msgs.Message{Welcome: &msgs.Welcome{Leading: true, Epoch: epoch, Leader: l.addr()}})
			for _, p := range pings {
				conn.Send(&msgs.Message{Ping: p})
			}
		case m.JobRequest != nil:
			l.requests <- m.JobRequest.Job
			if l.silent.Load() {
				continue
			}
			conn.Send(&msgs.Message{JobResponse: &msgs.JobResponse{Seq: m.JobRequest.Seq, State: "running"}})
		}
	}
}

// startEntry starts an entry that finds the claim of epoch 1 by a leader in the store. The
// leader may be nil. It waits until the store has reported the versions of the configuration,
// 1 if there are none.
func startEntry(first *leader, versions ...int64) (*entry.Entry, netip.AddrPort) {
	e, addr, _ := startEntryWithStore(first, versions...)
	return e, addr
}

// startEntryWithStore is startEntry that also returns the store.
func startEntryWithStore(first *leader, versions ...int64) (*entry.Entry, netip.AddrPort, *topics.Store) {
	if len(versions) == 0 {
		versions = []int64{1}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	store := &topics.Store{}
	if first != nil {
		claim, err := codec.Marshal([]any{1, first.addr(), "first"})
		Expect(err).NotTo(HaveOccurred())
		store.Put("jobs", port.Record{Key: "leader", Value: claim})
	}
	platform := platformStore{store, versions, make(chan struct{})}
	e := entry.New(proc.JobEntry{Name: "e", Peers: addr}, platform, nil, slog.New(slog.DiscardHandler))
	go e.Run()
	<-platform.reported
	go e.Serve(ln)
	DeferCleanup(e.Close)
	return e, addr, store
}

// connect sends Hello to the entry at addr and returns its Welcome.
func connect(addr netip.AddrPort, h msgs.Hello) *msgs.Welcome {
	conn, w, err := peer.Connect(context.Background(), addr, h)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return w
}

// ask asks the entry for the state of a job.
func ask(e *entry.Entry, id model.ID) msgs.JobResponse {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	return e.JobRequest(ctx, msgs.JobRequest{Verb: msgs.State, Job: id})
}

var _ = Describe("An entry whose leader is leaving", func() {
	// The entry used to handle no messages until its turn to claim came, which took 200 ms
	// for each entry with a lower address. Requests were sent to the earlier leader meanwhile
	// and got no response.
	It("follows the next leader at once, although many entries should claim before it", func() {
		var others []netip.AddrPort
		for n := range 54 {
			others = append(others, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 0}), uint16(n+1)))
		}
		first := newLeader(1, &msgs.Ping{Epoch: 1, Entries: others, Leaving: true})
		second := newLeader(2)
		e, addr := startEntry(first)
		Expect(ask(e, "a").Code).To(Equal(codes.OK))
		Expect(<-first.requests).To(BeEquivalentTo("a"))
		connect(addr, msgs.Hello{Node: "l", Entry: true, Addr: second.addr(), Epoch: 2, Leading: true})
		Expect(ask(e, "b").Code).To(Equal(codes.OK))
		Expect(second.requests).To(Receive(BeEquivalentTo("b")))
	})
})

var _ = Describe("An entry that its leader asks to lead", func() {
	It("claims at once, although many entries should claim before it", func() {
		var others []netip.AddrPort
		for n := range 54 {
			others = append(others, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 0}), uint16(n+1)))
		}
		_, addr := startEntry(newLeader(1, &msgs.Ping{Epoch: 1, Entries: others, Leaving: true, Yield: true}))
		Eventually(func() bool { return connect(addr, msgs.Hello{Node: "agent"}).Leading }, time.Second, "20ms").Should(BeTrue())
	})
})

var _ = Describe("An entry whose leader recovers", func() {
	// The takeover was due 200 ms after the first ping.
	It("does not replace it", func() {
		other := netip.MustParseAddrPort("127.0.0.0:1")
		first := newLeader(1, &msgs.Ping{Epoch: 1, Entries: []netip.AddrPort{other}, Leaving: true}, &msgs.Ping{Epoch: 1})
		e, _ := startEntry(first)
		Consistently(func() codes.Code { return ask(e, "a").Code }, "500ms", "20ms").Should(Equal(codes.OK))
	})
})

var _ = Describe("A leader that stops", func() {
	It("asks the entry with the most processors to lead that does not stop as well", func() {
		e, addr := startEntry(nil)
		Expect(ask(e, "a").Code).To(Equal(codes.JobNotFound), "it leads")
		asked := map[float64]func() bool{}
		const stopping = 1.0
		for _, processors := range []float64{0.11, 0.8, 0.4, stopping} {
			conn, w, err := peer.Connect(context.Background(), addr, msgs.Hello{Node: "other", Entry: true, Processors: processors})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(w.Leading).To(BeTrue())
			conn.Send(&msgs.Message{Ping: &msgs.Ping{Epoch: w.Epoch, Leaving: processors == stopping}})
			conn.Send(&msgs.Message{JobRequest: &msgs.JobRequest{Seq: 1, Verb: msgs.State, Job: "a"}})
			Eventually(func() *msgs.JobResponse {
				m, err := conn.Receive(responseTimeout)
				Expect(err).NotTo(HaveOccurred())
				return m.JobResponse
			}).ShouldNot(BeNil(), "the messages are handled in order")
			asked[processors] = func() bool {
				for {
					m, err := conn.Receive(responseTimeout)
					Expect(err).NotTo(HaveOccurred())
					if m.Ping != nil && m.Ping.Leaving {
						return m.Ping.Yield
					}
				}
			}
		}
		e.Shutdown()
		for processors, yield := range asked {
			Expect(yield()).To(Equal(processors == 0.8), "%g processors", processors)
		}
	})
})

// The store was away for 2 s. When it returned, another entry claimed before the leader had
// repeated its append, and no job was accepted until that entry had loaded the state.
var _ = Describe("An entry whose leader waits for the store", func() {
	waiting := &msgs.Ping{Epoch: 1, StoreWait: 2 * time.Second}

	// startWithoutStore returns the leader and the address of an entry that has failed to reach
	// the store while its leader waits for it. The store is back when it returns.
	startWithoutStore := func() (*leader, netip.AddrPort) {
		first := newLeader(1)
		e, addr, store := startEntryWithStore(first)
		Expect(ask(e, "a").Code).To(Equal(codes.OK))
		end := store.Disturb(topics.Faults{Refuse: true})
		for range 3 {
			calls := store.Calls()
			first.pings <- waiting
			Eventually(store.Calls, responseTimeout).Should(BeNumerically(">", calls), "it tests the store")
			Expect(ask(e, "b").Code).To(Equal(codes.OK))
		}
		end()
		return first, addr
	}

	It("leaves it time to try again when the store returns, and then replaces it", func() {
		first, addr := startWithoutStore()
		leads := func() bool { return connect(addr, msgs.Hello{Node: "agent"}).Leading }
		Consistently(func() bool {
			first.pings <- waiting
			return leads()
		}, "500ms", "50ms").Should(BeFalse())
		Eventually(func() bool {
			first.trySend(waiting)
			return leads()
		}, responseTimeout, "50ms").Should(BeTrue())
	})

	// It kept the outcome of its last test until it had another reason to test the store.
	It("notices that the store is back, and may replace a leader that leaves later", func() {
		first, addr := startWithoutStore()
		leaving := &msgs.Ping{Epoch: 1, Leaving: true}
		Eventually(func() bool {
			first.trySend(leaving)
			return connect(addr, msgs.Hello{Node: "agent"}).Leading
		}, responseTimeout, "50ms").Should(BeTrue())
	})
})

var _ = Describe("An entry", func() {
	It("stops leading as soon as a process knows of a later epoch", func() {
		e, addr := startEntry(nil)
		agent := msgs.Hello{Node: "agent"}
		Expect(ask(e, "a").Code).To(Equal(codes.JobNotFound), "it leads")
		Expect(connect(addr, agent).Leading).To(BeTrue())
		agent.Epoch = 7
		Expect(connect(addr, agent).Leading).To(BeFalse())
	})

	// Both the list and the number of pings grow with the entries.
	It("sends the other entries' addresses only when there are new ones", func() {
		e, addr := startEntry(nil)
		Expect(ask(e, "a").Code).To(Equal(codes.JobNotFound), "it leads")
		conn, w, err := peer.Connect(context.Background(), addr, msgs.Hello{Node: "other", Entry: true, Addr: netip.MustParseAddrPort("127.0.0.9:1")})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(w.Leading).To(BeTrue())
		ping := func() *msgs.Ping {
			m, err := conn.Receive(responseTimeout)
			Expect(err).NotTo(HaveOccurred())
			Expect(m.Ping).NotTo(BeNil())
			return m.Ping
		}
		ping()
		Expect(ping().Entries).To(BeEmpty())
		added := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.8"), addr.Port())
		e.AddSeeds(proc.Seeds{added})
		Eventually(func() []netip.AddrPort { return ping().Entries }).Should(ContainElement(added))
		Expect(ping().Entries).To(BeEmpty())
	})

	It("says that the fate of a job is unknown, not that it did not run, if the leader does not answer", func() {
		first := newLeader(1)
		first.silent.Store(true)
		e, _ := startEntry(first)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer cancel() // the caller's deadline passes
			<-first.requests
		}()
		spec := &model.Job{ID: "a"}
		Expect(e.JobRequest(ctx, msgs.JobRequest{Verb: msgs.Submit, Job: "a", Spec: spec}).Code).To(Equal(codes.FateUnknown))
	})

	It("keeps the latest configuration when an earlier one arrives after it", func() {
		e, _ := startEntry(newLeader(1), 3, 2)
		Expect(ask(e, "a").Code).To(Equal(codes.OK), "it has processed both")
		Expect(e.Config().Version).To(BeEquivalentTo(3))
	})

	DescribeTable("survives malformed messages", func(data []byte) {
		e, addr := startEntry(newLeader(1))
		conn, err := net.Dial("tcp", addr.String())
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Expect(ask(e, "a").Code).To(Equal(codes.OK))
	},
		Entry("no CBOR", []byte("GET / HTTP/1.1\r\n\r\n")),
		Entry("no message", []byte{0x81, 0xf6}),
		Entry("an array of unreasonable length", []byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
	)
})
