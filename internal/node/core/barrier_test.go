package core_test

import (
	"log/slog"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
)

var _ = Describe("A read barrier", func() {
	now := time.Unix(1e9, 0)
	var c *core.Core
	// barrier queues a barrier that is not refused.
	barrier := func() uint64 {
		id, err := c.Barrier()
		Expect(err).NotTo(HaveOccurred())
		return id
	}
	BeforeEach(func() {
		c = core.New(now, core.Config{
			Name: "e", WriterID: "e-1", AdvertiseAddr: netip.MustParseAddrPort("127.0.0.1:1"),
			Cells: []string{"main"}, Log: slog.New(slog.DiscardHandler),
		}, nil)
		c.Read(now, c.StartRead(now), nil, true)
	})

	It("is refused before the log was read to its end once", func() {
		fresh := core.New(now, core.Config{Log: slog.New(slog.DiscardHandler)}, nil)
		_, err := fresh.Barrier()
		Expect(codes.Of(err)).To(Equal(codes.NotReady))
	})

	// The response to a read may have waited while the process was paused.
	It("is not passed by a read that began earlier", func() {
		early := c.StartRead(now)
		id := barrier()
		c.Read(now, early, nil, true)
		Expect(c.BarrierResults()).To(BeEmpty())
		Expect(c.BarriersPending()).To(BeTrue())
		c.Read(now, c.StartRead(now), nil, true)
		Expect(c.BarrierResults()).To(Equal([]core.BarrierResult{{ID: id}}))
		Expect(c.BarriersPending()).To(BeFalse())
	})

	It("is not passed by a read that did not reach the end of the log", func() {
		barrier()
		c.Read(now, c.StartRead(now), nil, false)
		Expect(c.BarrierResults()).To(BeEmpty())
	})

	It("shares a read with the others that were queued before it", func() {
		first, second := barrier(), barrier()
		read := c.StartRead(now)
		barrier()
		c.Read(now, read, nil, true)
		Expect(c.BarrierResults()).To(Equal([]core.BarrierResult{{ID: first}, {ID: second}}))
	})

	It("fails with a read that fails, and asks the caller to try again", func() {
		barrier()
		c.ReadFailed(c.StartRead(now))
		results := c.BarrierResults()
		Expect(results).To(HaveLen(1))
		Expect(codes.Of(results[0].Err).Info().Retry).To(BeTrue())
		Expect(codes.Of(results[0].Err).Info().Ran).To(Equal(codes.RanNo))
	})

	// A response that waits while the process is paused does not make the state newer.
	It("leaves the age of the state as that of the start of the latest read to the end", func() {
		read := c.StartRead(now)
		c.Read(now.Add(4*time.Second), read, nil, true)
		Expect(c.LogAge(now.Add(5 * time.Second))).To(Equal(5 * time.Second))
		c.Read(now, c.StartRead(now.Add(3*time.Second)), nil, false)
		Expect(c.LogAge(now.Add(5 * time.Second))).To(Equal(5 * time.Second))
		c.Read(now, c.StartRead(now.Add(3*time.Second)), nil, true)
		Expect(c.LogAge(now.Add(5 * time.Second))).To(Equal(2 * time.Second))
	})
})
