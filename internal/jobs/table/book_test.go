package table_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const id = "00000000000000aa"

var now = time.Unix(1000, 0)

func job(steps ...model.Step) model.Job {
	return model.Job{ID: id, Queue: model.Queue{Name: "q", MaxAttempts: 2}, Steps: steps, Accepted: now}
}

func ref(step, index int) model.TaskRef { return model.TaskRef{Job: id, Step: step, Index: index} }

var _ = Describe("A book", func() {
	var b *table.Table
	BeforeEach(func() { b = &table.Table{} })

	assign := func(e *table.Entry, r model.TaskRef) uint32 {
		return b.Assign(e, r, table.Run{VM: "vm-1", Life: 7, Node: "node-1"}).Number
	}
	end := func(r model.TaskRef, run uint32, o msgs.Outcome) bool {
		_, known := b.EndRun(now, r, run, o, "")
		return known
	}

	It("completes a job when all steps are done, in order", func() {
		e := b.Add(job(model.Step{Tasks: 2}, model.Step{Tasks: 1, After: []int{0}}))
		Expect(e.Ready(now, &e.Stages[1])).To(BeFalse())
		for i := range 2 {
			Expect(end(ref(0, i), assign(e, ref(0, i)), msgs.Done)).To(BeTrue())
		}
		Expect(e.Ready(now, &e.Stages[1])).To(BeTrue())
		Expect(end(ref(1, 0), assign(e, ref(1, 0)), msgs.Done)).To(BeTrue())
		Expect(e.State).To(Equal(table.Completed))
		Expect(b.Active()).To(BeEmpty())
	})

	DescribeTable("gives a task another run, with a higher number, after", func(o msgs.Outcome) {
		e := b.Add(job(model.Step{Tasks: 1}))
		first := assign(e, ref(0, 0))
		Expect(e.Stages[0].Waiting).To(BeEmpty())
		end(ref(0, 0), first, o)
		Expect(e.Stages[0].Waiting).To(ConsistOf(0))
		Expect(assign(e, ref(0, 0))).To(BeNumerically(">", first))
	},
		Entry("a failure", msgs.Failed), Entry("a stop", msgs.Stopped), Entry("a lapse", msgs.LeaseExpired), Entry("a loss", msgs.Lost),
	)

	It("fails a job whose task failed as often as allowed, and counts nothing else", func() {
		e := b.Add(job(model.Step{Tasks: 2}))
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Lost)
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Failed)
		Expect(e.State).To(Equal(table.Running))
		other := assign(e, ref(0, 1))
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Failed)
		Expect(e.State).To(Equal(table.Failed))
		Expect(e.Surplus()).To(ConsistOf(HaveField("Run.Number", other)))
	})

	It("restarts lasting tasks however they end", func() {
		e := b.Add(job(model.Step{Tasks: 1, Lasting: true}))
		for _, o := range []msgs.Outcome{msgs.Done, msgs.Failed, msgs.Failed, msgs.Failed} {
			end(ref(0, 0), assign(e, ref(0, 0)), o)
		}
		Expect(e.State).To(Equal(table.Running))
		Expect(e.Stages[0].Waiting).To(ConsistOf(0))
	})

	It("ignores the end of a run that it does not know, also a second time", func() {
		e := b.Add(job(model.Step{Tasks: 1}))
		n := assign(e, ref(0, 0))
		Expect(end(ref(0, 0), n+1, msgs.Done)).To(BeFalse())
		Expect(end(ref(0, 0), n, msgs.Lost)).To(BeTrue())
		Expect(end(ref(0, 0), n, msgs.Done)).To(BeFalse())
		Expect(e.Tasks[0].Done).To(BeFalse())
	})

	It("lets one end of a gang stand for all", func() {
		e := b.Add(job(model.Step{Tasks: 3, Gang: true}))
		var n uint32
		for i := range 3 {
			n = b.Assign(e, ref(0, i), table.Run{Number: 4, VM: "vm-1"}).Number
		}
		Expect(n).To(Equal(uint32(4)))
		end(ref(0, 1), n, msgs.Done)
		Expect(e.State).To(Equal(table.Completed))
	})

	It("keeps a job's occurrences until they are due", func() {
		j := job(model.Step{Tasks: 1})
		j.Repeat, j.StartAt, j.Interval = 2, now, time.Minute
		e := b.Add(j)
		Expect(e.Ready(now, &e.Stages[0])).To(BeTrue())
		Expect(e.Ready(now, &e.Stages[1])).To(BeFalse())
		Expect(e.Ready(now.Add(time.Minute), &e.Stages[1])).To(BeTrue())
	})

	It("shows callers only what is stored", func() {
		e := b.Add(job(model.Step{Tasks: 1}))
		batch, err := b.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Jobs()).To(ConsistOf(model.ID(id)))
		assign(e, ref(0, 0))
		Expect(e.InStore).To(BeFalse())
		batch.Stored()
		Expect(e.InStore).To(BeTrue())
		Expect(e.Stored).To(Equal(table.Queued), "the assignment is in no record yet")
	})

	It("is loaded as it was stored", func() {
		e := b.Add(job(model.Step{Tasks: 3, Checkpoints: true}, model.Step{Tasks: 1, After: []int{0}}))
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Done)
		assign(e, ref(0, 1))
		b.Checkpoint(ref(0, 1), 1, "0abc")
		batch, err := b.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		again, faults := table.Load(batch.Records)
		Expect(faults).To(BeEmpty())
		got := again.Get(id)
		Expect(got.Progress).To(Equal(e.Progress))
		Expect(got.Stages[0]).To(And(HaveField("Open", 2), HaveField("Waiting", ConsistOf(2))))
		Expect(got.Tasks[1].Checkpoint).To(Equal("0abc"))
	})

	It("leaves out records that it cannot read", func() {
		b.Add(job(model.Step{Tasks: 1}))
		batch, err := b.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		records := append(batch.Records, port.Record{Key: "job/00000000000000bb", Value: []byte("x")},
			port.Record{Key: "progress/00000000000000aa", Value: []byte("x")}, port.Record{Key: "foreign", Value: []byte("x")})
		again, faults := table.Load(records)
		Expect(faults).To(HaveLen(2))
		Expect(again.Len()).To(Equal(1))
	})

	It("forgets what ended long ago, in the store too", func() {
		e := b.Add(job(model.Step{Tasks: 1}))
		b.Cancel(now, e)
		_, err := b.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		b.Purge(now)
		Expect(b.Len()).To(Equal(1))
		b.Purge(now.Add(time.Second))
		Expect(b.Len()).To(BeZero())
		batch, err := b.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveEach(HaveField("Value", BeEmpty())))
	})

	It("drops a job that never reached a batch", func() {
		b.Add(job(model.Step{Tasks: 1}))
		Expect(b.Unrecorded()).To(HaveLen(1))
		b.Drop(id)
		batch, err := b.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Empty()).To(BeTrue())
	})
})

func FuzzLoad(f *testing.F) {
	b := &table.Table{}
	b.Add(job(model.Step{Tasks: 2}))
	batch, err := b.NextBatch(1 << 20)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(batch.Records[0].Value, batch.Records[1].Value)
	f.Fuzz(func(t *testing.T, work, progress []byte) {
		b, _ := table.Load([]port.Record{{Key: "job/" + id, Value: work}, {Key: "progress/" + id, Value: progress}})
		for _, e := range b.All() {
			if len(e.Tasks) < 1 || len(e.Stages) < 1 {
				t.Errorf("loaded a job without tasks: %+v", e.Job)
			}
		}
	})
}
