package table_test

import (
	"strings"
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

var _ = Describe("A job table", func() {
	var tbl *table.Table
	BeforeEach(func() { tbl = &table.Table{} })

	assign := func(e *table.Entry, r model.TaskRef) uint32 {
		return tbl.Assign(e, r, table.Run{VM: "vm-1", Incarnation: 7, Node: "node-1"}).Number
	}
	end := func(r model.TaskRef, run uint32, o msgs.Outcome) bool {
		_, found := tbl.EndRun(now, r, run, o, "")
		return found
	}

	It("completes a task with a run that was given up, and keeps it completed", func() {
		e := tbl.Add(job(model.Step{Tasks: 2}))
		first := assign(e, ref(0, 0))
		Expect(end(ref(0, 0), first, msgs.Lost)).To(BeTrue())
		second := assign(e, ref(0, 0))
		Expect(end(ref(0, 0), second+1, msgs.Failed)).To(BeFalse(), "there was no such run")
		Expect(end(ref(0, 0), second+1, msgs.Done)).To(BeFalse(), "there was no such run")
		Expect(end(ref(0, 0), first, msgs.Done)).To(BeTrue())
		Expect(e.Surplus()).To(ConsistOf(HaveField("Run.Number", second)))
		Expect(end(ref(0, 0), first, msgs.Done)).To(BeFalse(), "it is completed already")
		Expect(end(ref(0, 0), second, msgs.Stopped)).To(BeTrue())
		Expect(e.Stages[0].Waiting).To(ConsistOf(1))
		Expect(end(ref(0, 1), assign(e, ref(0, 1)), msgs.Done)).To(BeTrue())
		Expect(e.State).To(Equal(table.Completed))
	})

	It("completes a job once all steps are completed, in order", func() {
		e := tbl.Add(job(model.Step{Tasks: 2}, model.Step{Tasks: 1, After: []int{0}}))
		Expect(e.Ready(now, &e.Stages[1])).To(BeFalse())
		for i := range 2 {
			Expect(end(ref(0, i), assign(e, ref(0, i)), msgs.Done)).To(BeTrue())
		}
		Expect(e.Ready(now, &e.Stages[1])).To(BeTrue())
		Expect(end(ref(1, 0), assign(e, ref(1, 0)), msgs.Done)).To(BeTrue())
		Expect(e.State).To(Equal(table.Completed))
		Expect(tbl.Active()).To(BeEmpty())
	})

	DescribeTable("lets a task have another run, with a higher number, after", func(o msgs.Outcome) {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		first := assign(e, ref(0, 0))
		Expect(e.Stages[0].Waiting).To(BeEmpty())
		end(ref(0, 0), first, o)
		Expect(e.Stages[0].Waiting).To(ConsistOf(0))
		Expect(assign(e, ref(0, 0))).To(BeNumerically(">", first))
	},
		Entry("a failure", msgs.Failed), Entry("a stop", msgs.Stopped), Entry("a lease that expired", msgs.LeaseExpired), Entry("a loss", msgs.Lost),
	)

	It("fails a job whose task failed as often as allowed, and counts no other outcome", func() {
		e := tbl.Add(job(model.Step{Tasks: 2}))
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Lost)
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Failed)
		Expect(e.State).To(Equal(table.Running))
		other := assign(e, ref(0, 1))
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Failed)
		Expect(e.State).To(Equal(table.Failed))
		Expect(e.Surplus()).To(ConsistOf(HaveField("Run.Number", other)))
	})

	It("lets a long-running task run again whatever the outcome of its run", func() {
		e := tbl.Add(job(model.Step{Tasks: 1, LongRunning: true}))
		for _, o := range []msgs.Outcome{msgs.Done, msgs.Failed, msgs.Failed, msgs.Failed} {
			end(ref(0, 0), assign(e, ref(0, 0)), o)
		}
		Expect(e.State).To(Equal(table.Running))
		Expect(e.Stages[0].Waiting).To(ConsistOf(0))
	})

	It("ignores the end of an unknown run and a second end of the same run", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		n := assign(e, ref(0, 0))
		Expect(end(ref(0, 0), n+1, msgs.Done)).To(BeFalse())
		Expect(end(ref(0, 0), n, msgs.Lost)).To(BeTrue())
		for _, o := range []msgs.Outcome{msgs.Lost, msgs.Stopped, msgs.LeaseExpired} {
			Expect(end(ref(0, 0), n, o)).To(BeFalse())
		}
		Expect(e.Tasks[0].Done).To(BeFalse())
		Expect(e.Tasks[0].Failures).To(BeZero())
		n = assign(e, ref(0, 0))
		Expect(end(ref(0, 0), n, msgs.Failed)).To(BeTrue())
		for _, o := range []msgs.Outcome{msgs.Lost, msgs.Failed, msgs.Stopped, msgs.LeaseExpired} {
			Expect(end(ref(0, 0), n, o)).To(BeFalse())
		}
		Expect(e.Tasks[0].Failures).To(Equal(uint16(1)))
		Expect(e.Stages[0].Waiting).To(ConsistOf(0))
	})

	It("ignores the end of a cancelled job's run that was given up", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		n := assign(e, ref(0, 0))
		Expect(end(ref(0, 0), n, msgs.Lost)).To(BeTrue())
		tbl.Cancel(now, e)
		Expect(end(ref(0, 0), n, msgs.Done)).To(BeFalse())
		Expect(e.State).To(Equal(table.Cancelled))
	})

	It("completes all members of a gang when one of them reports its end", func() {
		e := tbl.Add(job(model.Step{Tasks: 3, Gang: true}))
		var n uint32
		for i := range 3 {
			n = tbl.Assign(e, ref(0, i), table.Run{Number: 4, VM: "vm-1"}).Number
		}
		Expect(n).To(Equal(uint32(4)))
		end(ref(0, 1), n, msgs.Done)
		Expect(e.State).To(Equal(table.Completed))
	})

	It("holds a job's occurrences back until they are due", func() {
		j := job(model.Step{Tasks: 1})
		j.Repeat, j.StartAt, j.Interval = 2, now, time.Minute
		e := tbl.Add(j)
		Expect(e.Ready(now, &e.Stages[0])).To(BeTrue())
		Expect(e.Ready(now, &e.Stages[1])).To(BeFalse())
		Expect(e.Ready(now.Add(time.Minute), &e.Stages[1])).To(BeTrue())
	})

	It("shows callers only what is stored", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.NewJobs()).To(ConsistOf(model.ID(id)))
		run := assign(e, ref(0, 0))
		Expect(e.InStore).To(BeFalse())
		batch.Stored()
		Expect(e.InStore).To(BeTrue())
		Expect(e.Stored).To(Equal(table.Queued), "the assignment is in no batch yet")
		end(ref(0, 0), run, msgs.Done)
		batch, err = tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.NewJobs()).To(BeEmpty(), "the job is over, not new")
	})

	It("is loaded as it was stored", func() {
		e := tbl.Add(job(model.Step{Tasks: 3, Checkpoints: true}, model.Step{Tasks: 1, After: []int{0}}))
		end(ref(0, 0), assign(e, ref(0, 0)), msgs.Done)
		assign(e, ref(0, 1))
		tbl.Checkpoint(ref(0, 1), 1, "0abc")
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		loaded, faults := table.Load(batch.Records)
		Expect(faults).To(BeEmpty())
		got := loaded.Get(id)
		Expect(got.Progress).To(Equal(e.Progress))
		Expect(got.Stages[0]).To(And(HaveField("Open", 2), HaveField("Waiting", ConsistOf(2))))
		Expect(got.Tasks[1].Checkpoint).To(Equal("0abc"))
	})

	// Most jobs that a new leader loads have ended. Loading all of each took a weak entry of a
	// large fleet more than a second, in which nobody led.
	It("stores only the state of a job that has ended, once no run is left", func() {
		j := job(model.Step{Tasks: 40})
		j.Payload = strings.Repeat("x", 4000)
		e := tbl.Add(j)
		run := assign(e, ref(0, 7))
		tbl.Cancel(now, e)
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		loaded, faults := table.Load(batch.Records)
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id).Surplus()).To(ConsistOf(HaveField("Run.Number", run)), "it must be stopped")

		Expect(end(ref(0, 7), run, msgs.Stopped)).To(BeTrue())
		batch, err = tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		size := 0
		for _, r := range batch.Records {
			size += len(r.Value)
		}
		Expect(size).To(BeNumerically("<", 400))
		loaded, faults = table.Load(batch.Records)
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id).Stored).To(Equal(table.Cancelled))
		Expect(loaded.Active()).To(BeEmpty())
		_, needed := loaded.EndRun(now, ref(0, 7), run, msgs.Done, "")
		Expect(needed).To(BeFalse())
	})

	It("leaves out records that it cannot decode", func() {
		tbl.Add(job(model.Step{Tasks: 1}))
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		records := append(batch.Records, port.Record{Key: "job/00000000000000bb", Value: []byte("x")},
			port.Record{Key: "progress/00000000000000aa", Value: []byte("x")}, port.Record{Key: "foreign", Value: []byte("x")})
		loaded, faults := table.Load(records)
		Expect(faults).To(HaveLen(2))
		Expect(loaded.Len()).To(Equal(1))
	})

	It("purges jobs that ended long ago, in the store too", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		tbl.Cancel(now, e)
		_, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		tbl.Purge(now)
		Expect(tbl.Len()).To(Equal(1))
		tbl.Purge(now.Add(time.Second))
		Expect(tbl.Len()).To(BeZero())
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveEach(HaveField("Value", BeEmpty())))
	})

	It("deletes the records of a purged job once", func() {
		tbl.Cancel(now, tbl.Add(job(model.Step{Tasks: 1})))
		_, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		tbl.Purge(now.Add(time.Second))
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Empty()).To(BeFalse())
		tbl.Add(job(model.Step{Tasks: 1}))
		batch, err = tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveEach(HaveField("Value", Not(BeEmpty()))))
		batch, err = tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Empty()).To(BeTrue())
	})

	It("keeps a job that is submitted again just after it was purged", func() {
		tbl.Cancel(now, tbl.Add(job(model.Step{Tasks: 1})))
		_, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		tbl.Purge(now.Add(time.Second))
		tbl.Add(job(model.Step{Tasks: 1}))
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		newest := map[string][]byte{}
		for _, r := range batch.Records {
			newest[r.Key] = r.Value
		}
		Expect(newest).To(HaveEach(Not(BeEmpty())))
	})

	It("keeps the cancelling of a job that was not submitted yet, until it is purged", func() {
		stored := func() []port.Record {
			batch, err := tbl.NextBatch(1 << 20)
			Expect(err).NotTo(HaveOccurred())
			batch.Stored()
			return batch.Records
		}
		tbl.CancelEarly(now, id)
		records := stored()
		Expect(records).To(HaveLen(1))
		loaded, faults := table.Load(records)
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id)).To(And(HaveField("Unsubmitted", true), HaveField("State", table.Cancelled)))
		Expect(loaded.Active()).To(BeEmpty())

		tbl.SubmitCancelled(tbl.Get(id), job(model.Step{Tasks: 3}))
		submitted := stored()
		Expect(submitted).To(ContainElement(And(HaveField("Key", records[0].Key), HaveField("Value", BeEmpty()))))
		loaded, faults = table.Load(submitted)
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id)).To(And(HaveField("Unsubmitted", false), HaveField("Stored", table.Cancelled)))

		tbl = &table.Table{}
		tbl.CancelEarly(now, id)
		stored()
		tbl.Purge(now.Add(time.Second))
		Expect(stored()).To(ConsistOf(And(HaveField("Key", records[0].Key), HaveField("Value", BeEmpty()))))
	})

	// An earlier version of the program does not know the records of such cancellings.
	It("cancels a job that was accepted by a leader that did not know that it was cancelled", func() {
		tbl.CancelEarly(now, id)
		cancelled, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		earlier := &table.Table{}
		e := earlier.Add(job(model.Step{Tasks: 2}))
		run := earlier.Assign(e, ref(0, 0), table.Run{VM: "vm-1"}).Number
		accepted, err := earlier.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		loaded, faults := table.Load(append(cancelled.Records, accepted.Records...))
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id).State).To(Equal(table.Cancelled))
		Expect(loaded.Get(id).Surplus()).To(ConsistOf(HaveField("Run.Number", run)))
		batch, err := loaded.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(ContainElement(And(HaveField("Key", cancelled.Records[0].Key), HaveField("Value", BeEmpty()))))
	})

	It("keeps a job that was cancelled early for as long after its submission as others", func() {
		j := job(model.Step{Tasks: 1})
		j.Accepted = now.Add(time.Minute)
		tbl.SubmitCancelled(tbl.CancelEarly(now, id), j)
		_, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		tbl.Purge(j.Accepted)
		Expect(tbl.Len()).To(Equal(1))
		tbl.Purge(j.Accepted.Add(time.Second))
		Expect(tbl.Len()).To(BeZero())
	})

	// An earlier version of the program cannot decode what a later one has appended.
	DescribeTable("runs no job again whose progress it cannot read", func(spoil func(progress []byte) []byte) {
		tbl.Cancel(now, tbl.Add(job(model.Step{Tasks: 2})))
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		var records []port.Record
		for _, r := range batch.Records {
			if r.Key == "progress/"+id {
				r.Value = spoil(r.Value)
			}
			if r.Value != nil {
				records = append(records, r)
			}
		}
		loaded, faults := table.Load(records)
		Expect(faults).To(ContainElement(MatchError(ContainSubstring("does not run"))))
		Expect(loaded.Active()).To(BeEmpty())
		Expect(loaded.Get(id)).To(HaveField("Unreadable", true))
		loaded.Purge(now.Add(time.Hour))
		Expect(loaded.Dirty()).To(BeFalse(), "a leader that can read the record needs it")

		loaded.Cancel(now, loaded.Get(id))
		batch, err = loaded.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		loaded, faults = table.Load(batch.Records)
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id)).To(And(HaveField("Unreadable", false), HaveField("Stored", table.Cancelled)))
	},
		Entry("as it is no array", func([]byte) []byte { return []byte("x") }),
		Entry("as it is a longer array", func(progress []byte) []byte {
			return append([]byte{progress[0] + 1}, append(progress[1:], 0xf6)...)
		}),
		Entry("as it is missing", func([]byte) []byte { return nil }),
	)

	It("drops a job that is in no batch yet", func() {
		tbl.Add(job(model.Step{Tasks: 1}))
		Expect(tbl.Unrecorded()).To(HaveLen(1))
		tbl.Drop(id)
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Empty()).To(BeTrue())
	})
})

func FuzzLoad(f *testing.F) {
	tbl := &table.Table{}
	tbl.Add(job(model.Step{Tasks: 2}))
	batch, err := tbl.NextBatch(1 << 20)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(batch.Records[0].Value, batch.Records[1].Value, []byte{0x81, 0x82, 0x01, 0x81, 0x84, 0x01, 0xf5, 0xf4, 0xf4})
	f.Fuzz(func(t *testing.T, jobRecord, progressRecord, crashesRecord []byte) {
		tbl, _ := table.Load([]port.Record{
			{Key: "job/" + id, Value: jobRecord}, {Key: "progress/" + id, Value: progressRecord}, {Key: "crashes/" + id, Value: crashesRecord},
		})
		for _, e := range tbl.All() {
			if len(e.Tasks) < 1 || len(e.Stages) < 1 {
				t.Errorf("loaded a job without tasks: %+v", e.Job)
			}
		}
	})
}
