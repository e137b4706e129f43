package entry_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
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

// received is a submission that a manualLeader has received.
type received struct {
	conn *peer.Conn
	seq  uint64
	job  model.ID
}

// refuse sends the response that the submission was refused.
func (r received) refuse() {
	r.conn.Send(&msgs.Message{JobResponse: &msgs.JobResponse{Seq: r.seq, Code: codes.LogDown}})
}

// manualLeader is a process that leads as far as its Welcome says. The spec responds to the
// submissions.
type manualLeader struct {
	addr     netip.AddrPort
	received chan received
	// pings is set if the leader sends pings, without which an entry leaves it after
	// elect.LeaderTimeout.
	pings bool
}

// ping sends pings until stopped is closed.
func ping(conn *peer.Conn, epoch uint64, stopped <-chan struct{}) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			conn.Send(&msgs.Message{Ping: &msgs.Ping{Epoch: epoch}})
		case <-stopped:
			return
		}
	}
}

// newManualLeader returns a leader that listens at a new address.
func newManualLeader(epoch uint64, pings bool) *manualLeader {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	l := &manualLeader{ln.Addr().(*net.TCPAddr).AddrPort(), make(chan received, 64), pings}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(peer.New(conn), epoch)
		}
	}()
	return l
}

func (l *manualLeader) serve(conn *peer.Conn, epoch uint64) {
	defer conn.Close()
	for {
		m, err := conn.Receive(time.Minute)
		if err != nil {
			return
		}
		if m.Hello != nil {
			conn.Send(&msgs.Message{Welcome: &msgs.Welcome{Leading: true, Epoch: epoch, Leader: l.addr}})
			if l.pings {
				stopped := make(chan struct{})
				defer close(stopped)
				go ping(conn, epoch, stopped)
			}
		}
		if m.JobRequest != nil {
			l.received <- received{conn, m.JobRequest.Seq, m.JobRequest.Job}
		}
	}
}

// pausingHandler discards log records. At the record with a message it waits until mayGoOn
// is closed, and with it the goroutine that logs.
type pausingHandler struct {
	slog.Handler
	message          string
	reached, mayGoOn chan struct{}
}

func (h pausingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h pausingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		close(h.reached)
		<-h.mayGoOn
	}
	return nil
}

// startFollower starts an entry that finds the claim of epoch 1 by a leader in the store,
// beside the records.
func startFollower(first netip.AddrPort, log *slog.Logger, records ...port.Record) (*entry.Entry, netip.AddrPort) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	claim, err := codec.Marshal([]any{1, first, "first"})
	Expect(err).NotTo(HaveOccurred())
	store := &topics.Store{}
	for _, r := range append(records, port.Record{Key: "leader", Value: claim}) {
		store.Put("jobs", r)
	}
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	platform := platformStore{store, []int64{1}, make(chan struct{})}
	e := entry.New(proc.JobEntry{Name: "e", Peers: addr}, platform, nil, log)
	go e.Run()
	<-platform.reported // an entry without a configuration does not claim
	go e.Serve(ln)
	DeferCleanup(e.Close)
	return e, addr
}

// submit submits a job in the background and returns the channel that gets the response.
func submit(e *entry.Entry) <-chan msgs.JobResponse {
	response := make(chan msgs.JobResponse, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		response <- e.JobRequest(ctx, submission("00000000000000aa"))
	}()
	return response
}

// submission returns the request to submit a job of one task.
func submission(id model.ID) msgs.JobRequest {
	spec := &model.Job{ID: id, Queue: model.Queue{Name: "q"}, Steps: []model.Step{{Tasks: 1}}}
	return msgs.JobRequest{Verb: msgs.Submit, Job: id, Spec: spec}
}

// handIn sends a submission to the leader on a connection and returns the response's code.
func handIn(conn *peer.Conn, id model.ID) codes.Code {
	req := submission(id)
	conn.Send(&msgs.Message{JobRequest: &req})
	for {
		m, err := conn.Receive(responseTimeout)
		Expect(err).NotTo(HaveOccurred())
		if m.JobResponse != nil {
			return m.JobResponse.Code
		}
	}
}

// goroutines returns the stacks of all goroutines.
func goroutines() string {
	buf := make([]byte, 1<<20)
	return string(buf[:runtime.Stack(buf, true)])
}

var _ = Describe("An entry that takes over while its leader refuses a job", func() {
	// The refusal was received before, and handled after it had begun to lead.
	It("does not pass on the refusal of a job that it has accepted", func() {
		first := newManualLeader(1, false) // its only ping asks the entry to lead
		pause := pausingHandler{slog.DiscardHandler, "cannot restore the estimates of the earlier leader", make(chan struct{}), make(chan struct{})}
		e, _ := startFollower(first.addr, slog.New(pause), port.Record{Key: "learned", Value: []byte{0xff}})
		response := submit(e)
		r := <-first.received
		r.conn.Send(&msgs.Message{Ping: &msgs.Ping{Epoch: 1, Leaving: true, Yield: true}})
		Eventually(pause.reached, responseTimeout).Should(BeClosed(), "it begins to lead")
		r.refuse()
		Eventually(goroutines, responseTimeout).Should(MatchRegexp(`postAndWait\(.*\n.*\n.*Entry\)\.receive\(`), "it has received the refusal")
		close(pause.mayGoOn)
		Eventually(response, responseTimeout).Should(Receive(HaveField("Code", codes.OK)))
	})
})

var _ = Describe("An entry that has sent a job to its leader over two connections", func() {
	// What it sent over the first one arrived last, and the leader accepted it.
	It("says that the fate of the job is unknown if the leader refuses it on one of them", func() {
		_, addr, store := startEntryWithStore(nil)
		hello := msgs.Hello{Node: "e", Entry: true}
		Eventually(func() bool { return connect(addr, hello).Leading }, responseTimeout).Should(BeTrue())
		conn1, _, err := peer.Connect(context.Background(), addr, hello)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn1.Close)
		conn2, _, err := peer.Connect(context.Background(), addr, hello)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn2.Close)
		end := store.Disturb(topics.Faults{Silent: true})
		calls, other := store.Calls(), submission("00000000000000bb")
		conn1.Send(&msgs.Message{JobRequest: &other})
		Eventually(store.Calls, responseTimeout).Should(BeNumerically(">", calls), "it appends")
		Expect(handIn(conn2, "00000000000000aa")).To(Equal(codes.LogDown))
		end()
		Eventually(func() codes.Code { return handIn(conn1, "00000000000000aa") }, responseTimeout).Should(Equal(codes.OK), "it arrives late")

		first := newManualLeader(1, true)
		e, _ := startFollower(first.addr, slog.New(slog.DiscardHandler))
		response := submit(e)
		r := <-first.received
		r.conn.Close()
		Eventually(first.received, responseTimeout).Should(Receive(&r))
		r.refuse()
		Eventually(response, responseTimeout).Should(Receive(HaveField("Code", codes.FateUnknown)))
	})

	It("passes on the refusal of a leader to which it has sent the job once", func() {
		first, second := newManualLeader(1, true), newManualLeader(2, true)
		e, addr := startFollower(first.addr, slog.New(slog.DiscardHandler))
		response := submit(e)
		<-first.received
		connect(addr, msgs.Hello{Node: "l", Entry: true, Addr: second.addr, Epoch: 2, Leading: true})
		var r received
		Eventually(second.received, responseTimeout).Should(Receive(&r))
		r.refuse()
		Eventually(response, responseTimeout).Should(Receive(HaveField("Code", codes.LogDown)))
	})
})

var _ = Describe("An entry whose caller has left before it could forward the request", func() {
	// Its caller may have been refused elsewhere since.
	It("does not hand the job in", func() {
		first := newManualLeader(1, true)
		e, _ := startFollower(first.addr, slog.New(slog.DiscardHandler))
		submit(e)
		Eventually(first.received, responseTimeout).Should(Receive(), "it follows")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(e.JobRequest(ctx, submission("00000000000000bb"))).To(HaveField("Code", codes.NoLeader))
		submit(e)
		var r received
		Eventually(first.received, responseTimeout).Should(Receive(&r))
		Expect(r.job).To(BeEquivalentTo("00000000000000aa"))
	})
})
