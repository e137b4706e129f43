package peer_test

import (
	"math"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
