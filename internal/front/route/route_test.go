package route_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/front/route"
)

func targets(n int) []route.Target {
	list := make([]route.Target, n)
	for i := range list {
		list[i] = route.Target{VM: strconv.Itoa(i), Slots: 8}
	}
	return list
}

func balancer(n int) *route.Balancer {
	b := &route.Balancer{}
	b.Update(targets(n), 1)
	return b
}

var _ = Describe("the balancer", func() {
	now := time.Unix(1e9, 0)
	var rnd *rand.Rand
	BeforeEach(func() { rnd = rand.New(rand.NewPCG(1, 1)) })

	It("has nothing to pick from when empty", func() {
		Expect((&route.Balancer{}).Pick(now, rnd, "", nil)).To(BeNil())
	})

	It("never picks what was tried", func() {
		b := balancer(3)
		for range 20 {
			Expect(b.Pick(now, rnd, "", []string{"0", "2"}).VM).To(Equal("1"))
		}
		Expect(b.Pick(now, rnd, "", []string{"0", "1", "2"})).To(BeNil())
	})

	It("prefers a fast upstream, until what it learned is old", func() {
		b := balancer(2)
		for range 50 {
			for _, u := range b.Upstreams() {
				b.Sent(u)
				took := 10 * time.Millisecond
				if u.VM == "1" {
					took = 40 * time.Millisecond
				}
				b.Done(now, u, route.Result{Kind: "k", ServiceTime: took})
			}
		}
		u := b.Pick(now, rnd, "k", nil)
		Expect(u.VM).To(Equal("0"))
		slow, fast := b.Get("1"), b.Get("0")
		ratio := func(at time.Time) float64 {
			return float64(slow.ExpectedTime(at, time.Millisecond)) / float64(fast.ExpectedTime(at, time.Millisecond))
		}
		Expect(ratio(now.Add(time.Hour))).To(BeNumerically("<", ratio(now)))
	})

	It("does not confuse kinds that take long with slow upstreams", func() {
		b := balancer(2)
		for range 50 {
			for i, u := range b.Upstreams() {
				kind, took := "short", time.Millisecond
				if i == 1 {
					kind, took = "long", 50*time.Millisecond
				}
				b.Sent(u)
				b.Done(now, u, route.Result{Kind: kind, ServiceTime: took})
			}
		}
		Expect(b.Get("1").Slowness()).To(BeNumerically("~", 1, 0.01))
	})

	It("ejects what fails, but at most half, and lets it return by a probe", func() {
		b := balancer(4)
		for range 20 {
			for _, u := range b.Upstreams() {
				b.Sent(u)
				b.Done(now, u, route.Result{Failed: true})
			}
		}
		out := 0
		for _, u := range b.Upstreams() {
			if u.Ejected() {
				out++
			}
		}
		Expect(out).To(Equal(2))
		later := now.Add(time.Minute)
		for range 40 {
			b.Done(later, b.Pick(later, rnd, "", nil), route.Result{ServiceTime: time.Millisecond})
		}
		for _, u := range b.Upstreams() {
			Expect(u.Ejected()).To(BeFalse())
		}
	})

	It("takes an ejected upstream if all others were tried", func() {
		b := balancer(3)
		for range 5 {
			b.Sent(b.Get("1"))
			b.Done(now, b.Get("1"), route.Result{Failed: true})
		}
		Expect(b.Get("1").Ejected()).To(BeTrue())
		for range 20 {
			Expect(b.Pick(now, rnd, "", []string{"0"}).VM).To(Equal("2"))
		}
		Expect(b.Pick(now, rnd, "", []string{"0", "2"}).VM).To(Equal("1"))
	})

	It("does not send more to an upstream that fails at once", func() {
		b := balancer(10)
		sent := 0
		for i := range 2000 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			u := b.Pick(at, rnd, "", nil)
			if u.VM == "3" {
				sent++
				b.Done(at, u, route.Result{Failed: true, ServiceTime: time.Microsecond})
				continue
			}
			b.Done(at, u, route.Result{ServiceTime: 5 * time.Millisecond})
		}
		Expect(sent).To(BeNumerically("<", 2000/10/4))
	})

	It("keeps what it learned of upstreams that stay", func() {
		b := balancer(2)
		u := b.Get("1")
		b.Sent(u)
		b.Update(targets(3), 2)
		Expect(b.Get("1")).To(BeIdenticalTo(u))
		Expect(u.InFlight()).To(Equal(1))
	})
})

var _ = Describe("homes", func() {
	now := time.Unix(1e9, 0)

	It("are the same at every entry that sees the same upstreams", func() {
		var a, b route.Owners
		a.Update(now, targets(5))
		b.Update(now.Add(time.Second), targets(5))
		used := map[string]bool{}
		for i := range 100 {
			id := strconv.Itoa(i)
			home := a.Owner(id, now.Add(time.Minute))
			Expect(home).To(Equal(b.Owner(id, now.Add(time.Minute))))
			used[home] = true
		}
		Expect(used).To(HaveLen(5))
	})

	It("are not certain around a change that moves them", func() {
		var h route.Owners
		h.Update(now, targets(5))
		h.Update(now.Add(time.Minute), targets(4))
		moved := 0
		for i := range 100 {
			id := strconv.Itoa(i)
			Expect(h.Owner(id, now.Add(70*time.Second))).NotTo(BeEmpty())
			if h.Owner(id, now.Add(59*time.Second)) == "" {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("~", 20, 12))
	})

	It("are not known to an entry that has just started", func() {
		var h route.Owners
		h.Update(now, targets(5))
		Expect(h.Owner("x", now.Add(time.Second))).To(BeEmpty())
	})
})

// BenchmarkPick measures one decision among the upstreams of the target size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 430} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			bal := balancer(n)
			rnd := rand.New(rand.NewPCG(1, 1))
			now := time.Unix(1e9, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				u := bal.Pick(now, rnd, "k", nil)
				bal.Done(now, u, route.Result{Kind: "k", ServiceTime: 5 * time.Millisecond, LoadKnown: true, Running: 3})
			}
		})
	}
}
