package event_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/run/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("A queue", func() {
	var q *event.Queue
	var ran []string
	run := func(name string) func() { return func() { ran = append(ran, name) } }
	BeforeEach(func() { q, ran = event.New(8), nil })

	// A busy leader heard the outcome of its append behind a hundred messages of agents, and was replaced
	// because it seemed to have lost the store.
	It("runs what was posted first before all else, and each kind in its order", func(ctx SpecContext) {
		for _, name := range []string{"a", "b", "c"} {
			q.Post(ctx, run(name))
		}
		q.PostFirst(ctx, run("1"))
		q.PostFirst(ctx, run("2"))
		Expect(q.Len()).To(Equal(5))
		for f := q.Next(); f != nil; f = q.Next() {
			f()
		}
		Expect(ran).To(Equal([]string{"1", "2", "a", "b", "c"}))
	})

	It("prefers them also after a wait", func(ctx SpecContext) {
		for range 100 {
			ran = nil
			q.Post(ctx, run("a"))
			q.PostFirst(ctx, run("1"))
			for range 2 {
				f, ok := q.Wait(ctx, nil)
				Expect(ok).To(BeTrue())
				f()
			}
			Expect(ran).To(Equal([]string{"1", "a"}))
		}
	})

	It("returns nothing when the timer fires", func(ctx SpecContext) {
		timer := make(chan time.Time, 1)
		timer <- time.Time{}
		f, ok := q.Wait(ctx, timer)
		Expect(ok).To(BeTrue())
		Expect(f).To(BeNil())
	})

	It("ends with its context, and takes no more than it holds", func(ctx SpecContext) {
		done, cancel := context.WithCancel(ctx)
		cancel()
		for range 20 {
			q.Post(done, run("a")) // does not block
		}
		Expect(q.Len()).To(BeNumerically("<=", 8))
		_, ok := q.Wait(done, nil)
		Expect(ok).To(BeFalse())
	})
})
