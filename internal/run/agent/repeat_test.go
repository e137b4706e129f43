package agent_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// endPause is the time from a start that got no response to the end of its run. It is shorter than
// the wait of the repeated start.
const endPause = 5 * time.Millisecond

// quickWorker carries out the first start without a response; its run ends as done at once.
type quickWorker struct {
	port.Executor
	startedAt time.Time
	mu        sync.Mutex
	// endAt is when the run ends, zero before its start.
	endAt time.Time
	// acknowledged is set once its end was acknowledged, late counts the starts after that.
	acknowledged bool
	late         int
}

func (w *quickWorker) Start(context.Context, port.StartOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.acknowledged {
		w.late++
	}
	if w.endAt.IsZero() {
		w.endAt = time.Now().Add(endPause)
	}
	return errors.New("no response")
}

func (w *quickWorker) Poll(ctx context.Context, p port.Poll) (port.PollResult, error) {
	select {
	case <-ctx.Done():
		return port.PollResult{}, ctx.Err()
	case <-time.After(time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acknowledged = w.acknowledged || p.Seen > 0
	res := port.PollResult{Incarnation: incarnation, Clock: time.Since(w.startedAt)}
	if !w.acknowledged && !w.endAt.IsZero() && time.Now().After(w.endAt) {
		res.Ended = []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}}
	}
	return res, nil
}

// lateStarts returns whether the end was acknowledged, and the number of later starts.
func (w *quickWorker) lateStarts() (acknowledged bool, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged, w.late
}

var _ = Describe("A start that got no response", func() {
	// If the worker started again meanwhile, it would have run the task a second time.
	It("is not repeated after the end of its run was acknowledged", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		ordered := false
		go lead(ln, func(m *msgs.Message) *msgs.Message {
			out := &msgs.Message{}
			if m.LeaseRequest != nil && m.LeaseRequest.Synced && !ordered {
				ordered = true
				out.Orders = &msgs.Orders{Epoch: epoch, VM: vm, Incarnation: incarnation, Starts: []msgs.Start{{Task: task, Run: 1, Percent: 100}}}
			}
			if m.Report != nil {
				out.EndsStored = &msgs.EndsStored{VM: vm, Incarnation: incarnation, Number: 1}
			}
			return out
		})
		w := &quickWorker{startedAt: time.Now()}
		a := newAgent(ln, w)
		go a.Run()
		defer a.Wait()
		defer a.Close()
		a.Heartbeat(port.Heartbeat{VM: msgs.VM{ID: vm, Incarnation: incarnation, Service: "registry"}})
		Eventually(func() bool { acknowledged, _ := w.lateStarts(); return acknowledged }, responseTimeout).Should(BeTrue())
		Consistently(func() int { _, late := w.lateStarts(); return late }, 300*time.Millisecond).Should(BeZero())
	})
})
