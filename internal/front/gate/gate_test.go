package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/front/gate"
)

var _ = Describe("the gate", func() {
	var now time.Time
	var g *gate.Gate
	far := func() time.Time { return now.Add(time.Hour) }

	BeforeEach(func() {
		now = time.Unix(1e9, 0)
		g = gate.New(8, []gate.Kind{{Name: "urgent", Share: 50}, {Name: "bulk", Share: 25}, {Name: "default"}})
	})

	ask := func(kind string) (*gate.Ticket, gate.Decision) { return g.Admit(now, kind, far()) }

	It("never runs more than its slots", func() {
		granted := 0
		for range 40 {
			if _, d := ask("bulk"); d == gate.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(8))
		Expect(g.Running()).To(Equal(8))
	})

	It("keeps the guarantee free of a kind that used it a moment ago", func() {
		var tickets []*gate.Ticket
		for range 4 {
			t, d := ask("urgent")
			Expect(d).To(Equal(gate.Granted))
			tickets = append(tickets, t)
		}
		for _, t := range tickets {
			g.Done(now, t, time.Millisecond)
		}
		granted := 0
		for range 20 {
			if _, d := ask("bulk"); d == gate.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(4))
		for range 4 {
			_, d := ask("urgent")
			Expect(d).To(Equal(gate.Granted))
		}
	})

	It("lends idle guarantees after a while", func() {
		t, _ := ask("urgent")
		g.Done(now, t, time.Millisecond)
		now = now.Add(time.Minute)
		granted := 0
		for range 8 {
			if _, d := ask("bulk"); d == gate.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(8))
	})

	It("serves a kind below its guarantee first", func() {
		var running []*gate.Ticket
		for range 8 {
			t, _ := ask("bulk")
			running = append(running, t)
		}
		_, d := ask("bulk")
		Expect(d).To(Equal(gate.Queued))
		urgent, d := ask("urgent")
		Expect(d).To(Equal(gate.Queued))
		Expect(g.Done(now, running[0], time.Millisecond)).To(ConsistOf(urgent))
	})

	It("refuses beyond the queue's bound, and what cannot finish in time", func() {
		for range 8 {
			ask("bulk")
		}
		queued := 0
		for range 1000 {
			if _, d := ask("bulk"); d == gate.Queued {
				queued++
			}
		}
		// 100 ms of waiting at 8 slots and 5 ms a request.
		Expect(queued).To(Equal(161))
		_, d := ask("bulk")
		Expect(d).To(Equal(gate.Full))
		_, d = g.Admit(now, "urgent", now.Add(time.Microsecond))
		Expect(d).To(Equal(gate.Late))
	})

	It("drops queued requests whose deadline cannot be met any more", func() {
		for range 8 {
			ask("bulk")
		}
		t, d := g.Admit(now, "bulk", now.Add(50*time.Millisecond))
		Expect(d).To(Equal(gate.Queued))
		late, _ := g.Expire(now.Add(49 * time.Millisecond))
		Expect(late).To(ConsistOf(t))
		Expect(g.Cancel(t)).To(BeFalse())
	})

	It("keeps the slots of running requests when kinds change", func() {
		t, _ := ask("bulk")
		g.Update(4, []gate.Kind{{Name: "bulk", Share: 100}})
		Expect(g.Running()).To(Equal(1))
		g.Done(now, t, time.Millisecond)
		Expect(g.Running()).To(BeZero())
	})
})
