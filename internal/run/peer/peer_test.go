package peer_test

import (
	"math"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/run/peer"
)

var _ = Describe("A connection", func() {
	DescribeTable("fails for a message with an epoch out of range", func(message func(epoch uint64) *msgs.Message) {
		a, b := net.Pipe()
		sender, receiver := peer.New(a), peer.New(b)
		DeferCleanup(sender.Close)
		DeferCleanup(receiver.Close)
		for _, epoch := range []uint64{3, msgs.MaxEpoch} {
			sender.Send(message(epoch))
			Expect(receiver.Receive(time.Second)).To(Equal(message(epoch)))
		}
		sender.Send(message(math.MaxUint64))
		_, err := receiver.Receive(time.Second)
		Expect(err).To(MatchError(msgs.ErrOutOfRange))
	},
		Entry("Hello", func(n uint64) *msgs.Message { return &msgs.Message{Hello: &msgs.Hello{Epoch: n}} }),
		Entry("Welcome", func(n uint64) *msgs.Message { return &msgs.Message{Welcome: &msgs.Welcome{Epoch: n}} }),
		Entry("Orders", func(n uint64) *msgs.Message { return &msgs.Message{Orders: &msgs.Orders{Epoch: n}} }),
		Entry("Ping", func(n uint64) *msgs.Message { return &msgs.Message{Ping: &msgs.Ping{Epoch: n}} }),
	)
})

var _ = Describe("A connection to a peer that does not read", func() {
	It("tells how large the jobs are that wait to be written", func() {
		a, b := net.Pipe()
		sender := peer.New(a)
		DeferCleanup(sender.Close)
		sender.Send(&msgs.Message{JobRequest: &msgs.JobRequest{Spec: &model.Job{Payload: "1234"}}})
		sender.Send(&msgs.Message{JobRequest: &msgs.JobRequest{Spec: &model.Job{Payload: "123456"}}})
		Expect(sender.QueuedJobBytes()).To(BeEquivalentTo(10))
		receiver := peer.New(b)
		DeferCleanup(receiver.Close)
		for range 2 {
			_, err := receiver.Receive(time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(sender.QueuedJobBytes).Should(BeZero())
	})
})

// The decoder reads a whole message before it decodes any of it.
var _ = Describe("A message that no process sends", func() {
	It("is not read to its end", func() {
		a, b := net.Pipe()
		receiver := peer.New(b)
		DeferCleanup(receiver.Close)
		sent := make(chan int)
		go func() {
			n, _ := a.Write(append([]byte{0x5a, 0x40, 0, 0, 0}, make([]byte, 1<<20)...)) // the receiver closes the pipe
			sent <- n
		}()
		_, err := receiver.Receive(time.Second)
		Expect(err).To(MatchError(ContainSubstring("message is too large")))
		receiver.Close()
		Expect(<-sent).To(BeNumerically("<", 256<<10))
	})
})

// An agent that was paused took its leader for silent, and lost the order to stop the runs of a
// cancelled job that had arrived meanwhile.
var _ = Describe("A process that was paused for longer than its peer may be silent", func() {
	It("receives what has arrived meanwhile, and then the timeout", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		a, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		b, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		sender, receiver := peer.New(a), peer.New(b)
		DeferCleanup(sender.Close)
		DeferCleanup(receiver.Close)
		order := &msgs.Message{Orders: &msgs.Orders{Epoch: 3, Stops: []msgs.Stop{{Task: "00000000000000aa.0.0.1", Run: 1}}}}
		sender.Send(order)
		const passed = -time.Second // the deadline has passed before the message is read
		Eventually(func() (*msgs.Message, error) { return receiver.Receive(passed) }).Should(Equal(order))
		_, err = receiver.Receive(passed)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
})
