package worker_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

func assignment(epoch, cpu uint32) *schema.Assignment {
	return &schema.Assignment{
		Task: &schema.TaskRef{Job: "j", Epoch: epoch}, Size: &schema.Size{CpuMilli: cpu}, WorkMs: 10_000,
	}
}

var _ = Describe("the witness of the workers", func() {
	ctx := context.Background()
	var now time.Time
	var w *worker.Witness
	var a, b *worker.Worker

	BeforeEach(func() {
		now, w = time.Unix(1e9, 0), &worker.Witness{}
		newWorker := func(vm string) *worker.Worker {
			return worker.New(worker.Config{
				VM: vm, Capacity: &schema.Size{CpuMilli: 1000}, Witness: w, Now: func() time.Time { return now },
			})
		}
		a, b = newWorker("a"), newWorker("b")
	})

	attempt := func(epoch uint32) ident.Attempt {
		return ident.Attempt{Task: ident.Task{Job: "j"}, Epoch: epoch}
	}

	It("reports a task that runs on two VMs at once, but not one that moved", func() {
		Expect(a.Start(ctx, assignment(1, 500), time.Hour)).To(Succeed())
		now = now.Add(time.Second)
		_, err := a.Stop(ctx, assignment(1, 500).Task, port.Checkpoint)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Start(ctx, assignment(2, 500), time.Hour)).To(Succeed())
		Expect(w.Overlaps(now)).To(BeEmpty())
		Expect(a.Start(ctx, assignment(3, 500), time.Hour)).To(Succeed())
		Expect(w.Overlaps(now.Add(time.Second))).To(ConsistOf(ident.Task{Job: "j"}))
	})

	It("reports starts beyond a VM's capacity", func() {
		Expect(a.Start(ctx, assignment(1, 700), time.Hour)).To(Succeed())
		Expect(w.Overcommitted()).To(BeEmpty())
		Expect(a.Start(ctx, assignment(2, 700), time.Hour)).To(Succeed())
		Expect(w.Overcommitted()).To(HaveLen(1))
	})

	It("reports outputs that count twice, were discarded or never existed", func() {
		Expect(a.Start(ctx, assignment(1, 500), time.Hour)).To(Succeed())
		Expect(b.Start(ctx, assignment(2, 500), time.Hour)).To(Succeed())
		now = now.Add(time.Minute)
		a.RecordEnds()
		b.RecordEnds()
		accepted := map[ident.Attempt]bool{attempt(1): true}
		completed, duplicated, lost := w.Audit(accepted)
		Expect(completed).To(Equal(1))
		Expect(duplicated).To(BeEmpty())
		Expect(lost).To(BeEmpty())

		_, err := b.Stop(ctx, assignment(2, 500).Task, port.Confirm)
		Expect(err).NotTo(HaveOccurred())
		_, duplicated, _ = w.Audit(accepted)
		Expect(duplicated).NotTo(BeEmpty())

		_, err = a.Stop(ctx, assignment(1, 500).Task, port.Discard)
		Expect(err).NotTo(HaveOccurred())
		_, _, lost = w.Audit(accepted)
		Expect(lost).To(HaveLen(1))

		completed, _, _ = w.Audit(map[ident.Attempt]bool{attempt(3): true})
		Expect(completed).To(BeZero())
	})

	It("reports usage with the configured lag", func() {
		late := worker.New(worker.Config{
			VM: "c", Capacity: &schema.Size{CpuMilli: 1000}, UsageLag: 2 * time.Second,
			Now: func() time.Time { return now },
		})
		Expect(late.Start(ctx, assignment(1, 500), time.Hour)).To(Succeed())
		share := func() uint32 {
			tasks, err := late.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			return tasks[0].GetSharePercent()
		}
		Expect(share()).To(BeZero())
		Expect(late.Throttle(ctx, assignment(1, 500).Task, 50)).To(Succeed())
		now = now.Add(2 * time.Second)
		Expect(share()).To(BeEquivalentTo(100))
		now = now.Add(2 * time.Second)
		Expect(share()).To(BeEquivalentTo(50))
	})

	It("resumes from a checkpoint with the work that was done before it", func() {
		Expect(a.Start(ctx, assignment(1, 500), time.Hour)).To(Succeed())
		now = now.Add(3 * time.Second)
		token, err := a.Stop(ctx, assignment(1, 500).Task, port.Checkpoint)
		Expect(err).NotTo(HaveOccurred())
		next := assignment(2, 500)
		next.Checkpoint = token
		Expect(b.Start(ctx, next, time.Hour)).To(Succeed())
		resumedAt := now
		now = now.Add(time.Minute)
		b.RecordEnds()
		Expect(w.Runs()[1]).To(And(HaveField("End", worker.Finished), HaveField("To", resumedAt.Add(7*time.Second))))
	})

	It("ends a run that resumed from a checkpoint when its lease expires, and never starts a stopped attempt again", func() {
		Expect(a.Start(ctx, assignment(1, 500), 4*time.Second)).To(Succeed())
		now = now.Add(3 * time.Second)
		token, err := a.Stop(ctx, assignment(1, 500).Task, port.Checkpoint)
		Expect(err).NotTo(HaveOccurred())
		next := assignment(2, 500)
		next.Checkpoint = token
		Expect(b.Start(ctx, next, 5*time.Second)).To(Succeed())
		now = now.Add(5 * time.Second)
		b.RecordEnds()
		runs := w.Runs()
		Expect(runs[1].End).To(Equal(worker.LeaseExpired))
		Expect(a.Start(ctx, assignment(1, 500), time.Hour)).To(MatchError(port.ErrRefused))
	})
})
