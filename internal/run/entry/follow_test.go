package entry_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
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

// platformStore is the store with a fixed configuration.
type platformStore struct{ *topics.Store }

func (platformStore) Watch(ctx context.Context, changed func(model.Config)) {
	changed(model.Config{Version: 1})
	<-ctx.Done()
}

// leader is a process that leads as far as its messages say.
type leader struct {
	listener net.Listener
	// requests gets the jobs of the requests that arrive.
	requests chan model.ID
}

// newLeader returns a leader that welcomes all processes, sends them the pings, and responds
// to requests.
func newLeader(epoch uint64, pings ...*msgs.Ping) *leader {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	l := &leader{listener: ln, requests: make(chan model.ID, 16)}
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

func (l *leader) serve(conn *peer.Conn, epoch uint64, pings []*msgs.Ping) {
	defer conn.Close()
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
			conn.Send(&msgs.Message{JobResponse: &msgs.JobResponse{Seq: m.JobRequest.Seq, State: "running"}})
		}
	}
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
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		store := &topics.Store{}
		claim, err := codec.Marshal([]any{1, first.addr(), "first"})
		Expect(err).NotTo(HaveOccurred())
		store.Put("jobs", port.Record{Key: "leader", Value: claim})
		e := entry.New(proc.JobEntry{Name: "e", Peers: addr}, platformStore{store}, nil, slog.New(slog.DiscardHandler))
		go e.Run()
		go e.Serve(ln)
		DeferCleanup(e.Close)
		ask := func(id model.ID) msgs.JobResponse {
			ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
			defer cancel()
			return e.JobRequest(ctx, msgs.JobRequest{Verb: msgs.State, Job: id})
		}
		Expect(ask("a").Code).To(Equal(codes.OK))
		Expect(<-first.requests).To(BeEquivalentTo("a"))
		conn, _, err := peer.Connect(context.Background(), addr, msgs.Hello{Node: "l", Entry: true, Addr: second.addr(), Epoch: 2, Leading: true})
		Expect(err).NotTo(HaveOccurred())
		conn.Close()
		Expect(ask("b").Code).To(Equal(codes.OK))
		Expect(second.requests).To(Receive(BeEquivalentTo("b")))
	})
})
