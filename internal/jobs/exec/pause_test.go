package exec_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("The pause between polls", func() {
	newConnection := fmt.Errorf("poll: %w", port.ErrNewConnection)

	// Polls took all of a VM's share of a processor while its worker was about to exit.
	It("lets few polls follow each other if the worker's connections end as soon as they are opened", func() {
		var pause exec.PollPause
		begin := time.Unix(100, 0)
		now, polls := begin, 0
		for ; now.Sub(begin) < time.Second; polls++ {
			now = now.Add(time.Millisecond + pause.After(now, newConnection))
		}
		Expect(polls).To(BeNumerically("<=", 2*(int(time.Second/exec.PollRetryDelay)+1)))
	})

	It("is as short as possible after the end of a single connection and after a successful poll", func() {
		var pause exec.PollPause
		now := time.Unix(100, 0)
		Expect(pause.After(now, newConnection)).To(BeZero())
		Expect(pause.After(now, nil)).To(BeZero())
		Expect(pause.After(now, port.ErrStoreUnknown)).To(Equal(exec.PollRetryDelay))
		Expect(pause.After(now.Add(2*exec.PollRetryDelay), newConnection)).To(BeZero())
	})
})
