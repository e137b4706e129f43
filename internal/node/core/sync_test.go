package core_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fleet/member"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
)

var _ = Describe("An entry", func() {
	It("knows all VMs once it has listened for a heartbeat's timeout, and again after a pause", func() {
		now := time.Unix(1e9, 0)
		c := core.New(now, core.Config{Log: slog.New(slog.DiscardHandler)}, nil)
		c.Read(now, c.StartRead(now), nil, true)
		listen := func() {
			for end := now.Add(member.HeartbeatTimeout); now.Before(end); {
				c.Tick(now)
				Expect(c.KnowsVMs(now)).To(BeFalse())
				now = now.Add(100 * time.Millisecond)
			}
			c.Tick(now)
			Expect(c.KnowsVMs(now)).To(BeTrue())
		}
		listen()
		now = now.Add(5 * time.Second)
		Expect(c.KnowsVMs(now)).To(BeFalse(), "before the first tick after the pause")
		listen()
	})
})
