package entry_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// announce announces a VM with a number of processors to an entry.
func announce(e *entry.Entry, vm string, cpu uint32) {
	var links link.Set
	_, err := links.To(e.PeerAddr()).Entry().Beat(context.Background(), &schema.BeatRequest{Member: &schema.Member{
		Vm: vm, Cell: "main", Addr: "127.0.0.1:1", Incarnation: 1, Version: 1,
		Capacity: &schema.Size{CpuMilli: cpu * 1000, MemoryMb: 64 << 10},
	}})
	Expect(err).NotTo(HaveOccurred())
}

// It used to answer that no VM is large enough (422, retry no) if it knew only some VMs.
var _ = Describe("An entry that may not know all VMs", func() {
	const largeConfig = `{"batch": {"large": {"cpu": 16, "memory": "1GB"}}}`
	submitLarge := func(e *entry.Entry) answer {
		return call(e, http.MethodPost, teamPath+"/jobs", `{"kind": "large", "tasks": 1}`, "Idempotency-Key", "k")
	}
	publishLarge := func(e *entry.Entry) answer {
		return call(e, http.MethodPut, "/v1/teams/u/config", largeConfig, "If-Match", "0")
	}

	It("does not refuse a large job or kind when it has just started", func() {
		e := startReady("e", &plog.Log{})
		publish(e, "0", largeConfig)
		announce(e, "small", 8)
		Expect(submitLarge(e).Code).To(Equal(codes.NotReady))
		Expect(publishLarge(e).Code).To(Equal(codes.NotReady))
		announce(e, "big", 32)
		Expect(submitLarge(e).Status).To(Equal(http.StatusAccepted))
	})

	It("does not refuse a large job or kind while it does not hear from another entry", func() {
		log := &plog.Log{}
		startEntryAt("unreachable", log, netip.MustParseAddrPort("127.0.0.1:1"))
		e := startReady("e", log)
		publish(e, "0", largeConfig)
		stop := keepAnnouncing(e, "small", 8)
		defer stop()
		Consistently(func() codes.Code { return submitLarge(e).Code }).WithTimeout(6 * time.Second).WithPolling(time.Second).
			Should(Equal(codes.NotReady))
		Expect(publishLarge(e).Code).To(Equal(codes.NotReady))
	})

	It("refuses a large job and kind once it has heard for long enough", func() {
		e := startReady("e", &plog.Log{})
		publish(e, "0", largeConfig)
		stop := keepAnnouncing(e, "small", 8)
		defer stop()
		Eventually(func() codes.Code { return submitLarge(e).Code }).WithTimeout(8 * time.Second).WithPolling(time.Second).
			Should(Equal(codes.JobTooLarge))
		Expect(publishLarge(e).Code).To(Equal(codes.ConfigInvalid))
	})
})

// keepAnnouncing announces a VM every second until stop is called.
func keepAnnouncing(e *entry.Entry, vm string, cpu uint32) (stop func()) {
	announce(e, vm, cpu)
	ticker, done := time.NewTicker(time.Second), make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer GinkgoRecover()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				announce(e, vm, cpu)
			}
		}
	})
	return func() {
		ticker.Stop()
		close(done)
		wg.Wait()
	}
}
