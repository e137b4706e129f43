package exec_test

import (
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

const (
	task  = "00000000000000aa.0.0.1"
	epoch = 3
	lease = 5 * time.Second
)

var errNoAnswer = errors.New("no answer")

// bench is an agent with a worker that the test plays.
type bench struct {
	agent *exec.Agent
	now   time.Time
	life  int64
}

func newBench() *bench {
	b := &bench{agent: exec.New("node-1", slog.New(slog.DiscardHandler)), now: time.Unix(1000, 0), life: 500}
	b.heartbeat("vm-1", b.life)
	Expect(b.agent.LeaderConnected(epoch)).To(BeTrue())
	b.grant()
	b.look(port.PollResult{})
	return b
}

func (b *bench) heartbeat(id string, life int64) {
	b.agent.Heartbeat(b.now, port.Heartbeat{VM: msgs.VM{
		ID: id, Life: life, Service: "registry", Capacity: place.Resources{CPU: 64000, Memory: 256000},
	}})
}

// grant lets the leader answer a beat.
func (b *bench) grant() {
	b.now = b.now.Add(time.Second)
	b.agent.LeaseRequest(b.now)
	for _, m := range b.agent.Messages() {
		if m.LeaseRequest != nil {
			b.agent.Lease(&msgs.Lease{Seq: m.LeaseRequest.Seq, ValidFor: lease})
		}
	}
}

// look lets the worker answer a look at once.
func (b *bench) look(v port.PollResult) port.Poll {
	b.now = b.now.Add(time.Millisecond)
	l, ok := b.agent.Poll(b.now, false)
	Expect(ok).To(BeTrue())
	b.answer(l, v)
	return l
}

func (b *bench) answer(l port.Poll, v port.PollResult) {
	b.now = b.now.Add(time.Millisecond)
	v.Life, v.Clock = b.life, b.now.Sub(time.Unix(0, 0))
	b.agent.Polled(b.now, l, v, nil)
}

// order gives the agent a start and returns the call that it makes.
func (b *bench) order() exec.Call {
	b.agent.Orders(b.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Life: b.life, Starts: []msgs.Start{{Task: task, Run: 1, Percent: 100}}})
	return b.call()
}

func (b *bench) call() exec.Call {
	calls := b.agent.Calls()
	Expect(calls).To(HaveLen(1))
	return calls[0]
}

// ends returns the ends that the agent reports.
func (b *bench) ends() []msgs.RunEnd {
	var list []msgs.RunEnd
	for _, m := range b.agent.Messages() {
		if m.Report != nil {
			list = append(list, m.Report.Ends...)
		}
	}
	return list
}

var _ = Describe("An agent", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	done := port.PollResult{Ended: []msgs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: msgs.Done}}}

	It("reports a run as done whose first start was not answered and whose second came too late", func() {
		c := b.order()
		b.agent.Started(b.now, c, errNoAnswer)
		retry := b.call()
		Expect(retry.Start).NotTo(BeNil())
		early, _ := b.agent.Poll(b.now, false)
		b.agent.Started(b.now, retry, port.ErrRunOver)
		b.answer(early, port.PollResult{})
		Expect(b.ends()).To(BeEmpty(), "a look from before the answer tells nothing")
		b.look(done)
		Expect(b.ends()).To(ConsistOf(HaveField("Outcome", msgs.Done)))
	})

	It("reports a run as lost that was refused and is neither present nor ended", func() {
		b.agent.Started(b.now, b.order(), port.ErrRunOver)
		Expect(b.ends()).To(BeEmpty())
		b.look(port.PollResult{})
		Expect(b.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	})

	DescribeTable("reports a run as lost at once that a first start did not begin", func(err error) {
		b.agent.Started(b.now, b.order(), err)
		Expect(b.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	},
		Entry("no room", port.ErrRunCapacity),
		Entry("unhealthy", port.ErrWorkerUnhealthy),
		Entry("replaced", port.ErrWorkerReplaced),
		Entry("absent", port.ErrNoWorker),
	)

	It("stops a run whose starts are never answered, and waits for the stop's answer", func() {
		c := b.order()
		for c.Start != nil {
			b.agent.Started(b.now, c, errNoAnswer)
			c = b.call()
		}
		Expect(c.Stop).NotTo(BeNil())
		b.look(port.PollResult{})
		Expect(b.ends()).To(BeEmpty(), "the start may still be carried out")
		b.agent.Stopped(b.now, c, errNoAnswer)
		c = b.call()
		Expect(c.Stop).NotTo(BeNil())
		b.agent.Stopped(b.now, c, nil)
		b.look(port.PollResult{})
		Expect(b.ends()).To(ConsistOf(HaveField("Outcome", msgs.Lost)))
	})

	It("ignores orders of an earlier leader and for another life", func() {
		start := []msgs.Start{{Task: task, Run: 1}}
		b.agent.Orders(b.now, &msgs.Orders{Epoch: epoch - 1, VM: "vm-1", Life: b.life, Starts: start})
		b.agent.Orders(b.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Life: b.life + 1, Starts: start})
		Expect(b.agent.Calls()).To(BeEmpty())
		Expect(b.agent.LeaderConnected(epoch - 1)).To(BeFalse())
	})

	It("refuses new work while the VM drains", func() {
		b.agent.Heartbeat(b.now, port.Heartbeat{VM: msgs.VM{ID: "vm-1", Life: b.life, Service: "registry", Draining: true}})
		b.agent.Orders(b.now, &msgs.Orders{Epoch: epoch, VM: "vm-1", Life: b.life, Starts: []msgs.Start{{Task: task, Run: 1}}})
		Expect(b.agent.Calls()).To(BeEmpty())
		Expect(b.ends()).To(ConsistOf(HaveField("Reason", ContainSubstring("draining"))))
	})

	It("sends no lease that outlasts what the leader allowed", func() {
		l, _ := b.agent.Poll(b.now, false)
		latest := b.now.Sub(time.Unix(0, 0)) + lease
		Expect(l.Deadline).To(BeNumerically("<=", latest))
		Expect(l.Deadline).To(BeNumerically(">", latest-time.Second))
		b.now = b.now.Add(lease + time.Millisecond)
		l, _ = b.agent.Poll(b.now, false)
		Expect(l.Deadline).To(BeZero())
	})

	It("forgets ends only once the leader has stored them", func() {
		b.agent.Started(b.now, b.order(), nil)
		b.look(done)
		Expect(b.ends()).To(HaveLen(1))
		Expect(b.look(done).Seen).To(BeZero())
		b.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Life: b.life, Number: 1})
		Expect(b.look(port.PollResult{}).Seen).To(Equal(int64(1)))
	})

	// The worker may have been started again, and forget ends of its new life that
	// nobody has seen. Soak, seeds 301, 600 and 703.
	It("acknowledges no ends in the look after one that failed", func() {
		b.agent.Started(b.now, b.order(), nil)
		b.look(done)
		b.agent.EndsStored(&msgs.EndsStored{VM: "vm-1", Life: b.life, Number: 1})
		l, _ := b.agent.Poll(b.now, false)
		Expect(l.Seen).To(Equal(int64(1)))
		b.agent.Polled(b.now, l, port.PollResult{}, errors.New("connection reset"))
		Expect(b.look(port.PollResult{}).Seen).To(BeZero())
		Expect(b.look(port.PollResult{}).Seen).To(Equal(int64(1)))
	})

	It("tells a new leader what runs, and that leader's fence first", func() {
		b.agent.Started(b.now, b.order(), nil)
		before := b.look(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1, Percent: 10}}}).FencingToken
		b.agent.LeaderDisconnected()
		Expect(b.agent.LeaderConnected(epoch + 1)).To(BeTrue())
		b.agent.Messages()
		l := b.look(port.PollResult{Running: []msgs.RunStatus{{Task: task, Run: 1, Percent: 20}}})
		Expect(l.FencingToken).To(BeNumerically(">", before))
		m := b.agent.Messages()
		Expect(m[len(m)-1].LeaseRequest.Synced).To(BeTrue())
		Expect(m[len(m)-1].LeaseRequest.Runs).To(ConsistOf(HaveField("Task", task)))
	})

	It("raises its fence when the worker was started again", func() {
		before := b.look(port.PollResult{}).FencingToken
		b.life += 400
		b.look(port.PollResult{})
		Expect(b.look(port.PollResult{}).FencingToken).To(BeNumerically(">", before))
	})

	It("is told of the end of a life by a later heartbeat, not by an earlier one", func() {
		b.agent.Messages()
		b.heartbeat("vm-1", b.life-100)
		Expect(b.agent.VM().Life).To(Equal(b.life))
		b.heartbeat("vm-2", b.life+100)
		m := b.agent.Messages()
		Expect(m[0].LeaseRequest.VM).To(And(HaveField("ID", "vm-1"), HaveField("Down", true)))
	})

	It("takes a silent worker as gone only after its lease by a slow clock", func() {
		b.agent.Messages()
		b.look(port.PollResult{})
		gone := func() bool {
			l, ok := b.agent.Poll(b.now, false)
			if !ok {
				return true
			}
			b.agent.Polled(b.now, l, port.PollResult{}, errNoAnswer)
			return b.agent.VM().ID == ""
		}
		b.now = b.now.Add(lease)
		Expect(gone()).To(BeFalse())
		b.now = b.now.Add(lease / 10)
		Expect(gone()).To(BeTrue())
	})
})
