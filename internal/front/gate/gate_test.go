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
	farDeadline := func() time.Time { return now.Add(time.Hour) }

	BeforeEach(func() {
		now = time.Unix(1e9, 0)
		g = gate.New(8, []gate.Kind{{Name: "urgent", Share: 50}, {Name: "bulk", Share: 25}, {Name: "default"}})
	})

	admit := func(kind string) (*gate.Ticket, gate.Decision) { return g.Admit(now, kind, farDeadline()) }

	It("never grants more requests than it has slots", func() {
		granted := 0
		for range 40 {
			if _, d := admit("bulk"); d == gate.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(8))
		Expect(g.Running()).To(Equal(8))
	})

	It("reserves the guaranteed slots of a kind that used them recently", func() {
		var tickets []*gate.Ticket
		for range 4 {
			t, d := admit("urgent")
			Expect(d).To(Equal(gate.Granted))
			tickets = append(tickets, t)
		}
		for _, t := range tickets {
			g.Done(now, t, time.Millisecond)
		}
		granted := 0
		for range 20 {
			if _, d := admit("bulk"); d == gate.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(4))
		for range 4 {
			_, d := admit("urgent")
			Expect(d).To(Equal(gate.Granted))
		}
	})

	It("gives guaranteed slots to other kinds after they were idle for a while", func() {
		t, _ := admit("urgent")
		g.Done(now, t, time.Millisecond)
		now = now.Add(time.Minute)
		granted := 0
		for range 8 {
			if _, d := admit("bulk"); d == gate.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(8))
	})

	It("serves a kind below its guarantee first", func() {
		var running []*gate.Ticket
		for range 8 {
			t, _ := admit("bulk")
			running = append(running, t)
		}
		_, d := admit("bulk")
		Expect(d).To(Equal(gate.Queued))
		urgent, d := admit("urgent")
		Expect(d).To(Equal(gate.Queued))
		Expect(g.Done(now, running[0], time.Millisecond)).To(ConsistOf(urgent))
	})

	It("refuses requests beyond the queue limit and those that cannot finish in time", func() {
		for range 8 {
			admit("bulk")
		}
		queued := 0
		for range 1000 {
			if _, d := admit("bulk"); d == gate.Queued {
				queued++
			}
		}
		// A request behind 160 others waits 160 * 5 ms / 8 slots = maxWait and is still queued.
		Expect(queued).To(Equal(161))
		_, d := admit("bulk")
		Expect(d).To(Equal(gate.Full))
		_, d = g.Admit(now, "urgent", now.Add(time.Microsecond))
		Expect(d).To(Equal(gate.Late))
	})

	It("expires queued requests that can no longer meet their deadline", func() {
		for range 8 {
			admit("bulk")
		}
		t, d := g.Admit(now, "bulk", now.Add(50*time.Millisecond))
		Expect(d).To(Equal(gate.Queued))
		late, _ := g.Expire(now.Add(49 * time.Millisecond))
		Expect(late).To(ConsistOf(t))
		Expect(g.Cancel(t)).To(BeFalse())
	})

	// Update used to drop the queues of removed kinds; their tickets neither got a slot nor
	// expired.
	It("keeps the queued requests of a kind that is removed, as requests of the last kind", func() {
		var running []*gate.Ticket
		for range 8 {
			t, _ := admit("urgent")
			running = append(running, t)
		}
		first, d := admit("bulk")
		Expect(d).To(Equal(gate.Queued))
		second, _ := g.Admit(now, "bulk", now.Add(50*time.Millisecond))
		now = now.Add(time.Millisecond)
		third, _ := admit("default")
		g.Update(8, []gate.Kind{{Name: "urgent", Share: 50}, {Name: "default"}})
		Expect(g.Queued()).To(Equal(3))
		Expect(g.Done(now, running[0], time.Millisecond)).To(ConsistOf(first))
		late, granted := g.Expire(now.Add(60 * time.Millisecond))
		Expect(late).To(ConsistOf(second))
		Expect(granted).To(BeEmpty())
		Expect(g.Cancel(third)).To(BeTrue())
		g.Done(now, first, time.Millisecond)
		Expect(g.Running()).To(Equal(7))
	})

	It("keeps the queue when it is updated without kinds", func() {
		g := gate.New(1, nil)
		running, _ := g.Admit(now, "a", farDeadline())
		queued, d := g.Admit(now, "a", farDeadline())
		Expect(d).To(Equal(gate.Queued))
		g.Update(1, nil)
		Expect(g.Done(now, running, time.Millisecond)).To(ConsistOf(queued))
	})

	It("keeps the slots of running requests when kinds change", func() {
		t, _ := admit("bulk")
		g.Update(4, []gate.Kind{{Name: "bulk", Share: 100}})
		Expect(g.Running()).To(Equal(1))
		g.Done(now, t, time.Millisecond)
		Expect(g.Running()).To(BeZero())
	})
})
