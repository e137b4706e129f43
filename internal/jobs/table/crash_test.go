package table_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

var _ = Describe("The crashes of a task", func() {
	var tbl *table.Table
	BeforeEach(func() { tbl = &table.Table{} })

	// crash starts a task, lets its worker crash and records c with the run's number.
	crash := func(e *table.Entry, r model.TaskRef, c table.Crash) bool {
		c.Run = tbl.Assign(e, r, table.Run{VM: "vm-1"}).Number
		added := tbl.AddCrash(now, r, c)
		tbl.EndRun(now, r, c.Run, msgs.Lost, "")
		return added
	}
	store := func() []port.Record {
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		return batch.Records
	}
	shared, attributed, excused := table.Crash{}, table.Crash{Attributed: true}, table.Crash{Excused: true}
	doubtful := table.Crash{Attributed: true, Doubtful: true}

	DescribeTable("fail the job", func(crashes ...table.Crash) {
		e := tbl.Add(job(model.Step{Tasks: 2}))
		for i, c := range crashes {
			Expect(e.State.Ended()).To(BeFalse(), "before crash %d", i)
			Expect(crash(e, ref(0, 1), c)).To(BeTrue())
		}
		Expect(e.State).To(Equal(table.Failed))
		Expect(e.Reason).To(ContainSubstring("crashed as task 00000000000000aa.0.0.1 started"))
	},
		Entry("three that others may have caused", shared, shared, shared),
		Entry("two attributed ones", attributed, attributed),
		Entry("an attributed one last", shared, attributed),
		Entry("an attributed one first", attributed, shared),
		Entry("four, although it was excused", excused, excused, excused, excused),
		Entry("two attributed ones after one that is doubtful", doubtful, attributed, attributed),
		Entry("four, although all are doubtful", doubtful, doubtful, doubtful, doubtful),
		Entry("four, although it was excused in the first", excused, shared, shared, shared),
	)

	It("do not add up across tasks", func() {
		e := tbl.Add(job(model.Step{Tasks: 6}))
		for i := range 6 {
			crash(e, ref(0, i), attributed)
		}
		Expect(e.State).To(Equal(table.Queued))
	})

	It("make it a suspect, unless it is excused", func() {
		e := tbl.Add(job(model.Step{Tasks: 2}))
		crash(e, ref(0, 0), excused)
		Expect(e.Suspect(ref(0, 0), 0)).To(BeFalse())
		crash(e, ref(0, 0), shared)
		Expect(e.Suspect(ref(0, 0), 0)).To(BeTrue())
		Expect(e.Suspect(ref(0, 0), 2)).To(BeFalse(), "there is no other crash than that of run 2")
		Expect(e.Suspect(ref(0, 1), 0)).To(BeFalse())
		crash(e, ref(0, 1), doubtful)
		Expect(e.Suspect(ref(0, 1), 0)).To(BeTrue())
	})

	It("are counted once for each run", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		crash(e, ref(0, 0), shared)
		for range 5 {
			Expect(tbl.AddCrash(now, ref(0, 0), table.Crash{Run: 1})).To(BeFalse())
		}
		Expect(tbl.AddCrash(now, ref(0, 0), table.Crash{Run: 2})).To(BeFalse(), "there was no such run")
		Expect(tbl.AddCrash(now, ref(0, 7), table.Crash{Run: 1})).To(BeFalse(), "there is no such task")
		Expect(e.Crashes(ref(0, 0))).To(HaveLen(1))
	})

	It("are counted whatever the order in which they are reported", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		for range 3 {
			n := tbl.Assign(e, ref(0, 0), table.Run{}).Number
			tbl.EndRun(now, ref(0, 0), n, msgs.Lost, "")
		}
		for _, n := range []uint32{3, 1, 2} {
			Expect(tbl.AddCrash(now, ref(0, 0), table.Crash{Run: n})).To(BeTrue())
		}
		Expect(e.State).To(Equal(table.Failed))
	})

	It("of a gang's members are counted for the gang, once for each of its starts", func() {
		e := tbl.Add(job(model.Step{Tasks: 3, Gang: true}))
		for n := uint32(1); n <= 2; n++ {
			for i := range 3 {
				tbl.Assign(e, ref(0, i), table.Run{Number: n})
			}
			Expect(tbl.AddCrash(now, ref(0, 1), table.Crash{Run: n, Attributed: true})).To(BeTrue())
			Expect(tbl.AddCrash(now, ref(0, 2), table.Crash{Run: n, Attributed: true})).To(BeFalse())
			for i := range 3 {
				tbl.EndRun(now, ref(0, i), n, msgs.Lost, "")
			}
		}
		Expect(e.State).To(Equal(table.Failed))
	})

	It("change nothing once the task is completed or the job has ended", func() {
		e := tbl.Add(job(model.Step{Tasks: 2}))
		n := tbl.Assign(e, ref(0, 0), table.Run{}).Number
		tbl.EndRun(now, ref(0, 0), n, msgs.Done, "")
		Expect(tbl.AddCrash(now, ref(0, 0), table.Crash{Run: n})).To(BeFalse())
		tbl.Cancel(now, e)
		Expect(crash(e, ref(0, 1), attributed)).To(BeFalse())
	})

	It("are in the store with the end of the run, and loaded from there", func() {
		e := tbl.Add(job(model.Step{Tasks: 2}))
		store()
		crash(e, ref(0, 1), attributed)
		records := store()
		Expect(records).To(ConsistOf(HaveField("Key", "progress/"+id), HaveField("Key", "crashes/"+id)))
		jobRecord, err := codec.Marshal(&e.Job)
		Expect(err).NotTo(HaveOccurred())
		loaded, faults := table.Load(append(records, port.Record{Key: "job/" + id, Value: jobRecord}))
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id).Crashes(ref(0, 1))).To(Equal([]table.Crash{{Run: 1, Attributed: true}}))
		tbl = loaded
		crash(loaded.Get(id), ref(0, 1), shared)
		Expect(loaded.Get(id).State).To(Equal(table.Failed))
	})

	// Arrays of another length than the struct's cannot be decoded, so the layout of the records
	// of earlier versions must not change.
	It("leave the records of a job as earlier versions wrote them", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		run := tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-1"}).Number
		Expect(tbl.AddCrash(now, ref(0, 0), table.Crash{Run: run})).To(BeTrue())
		var progress []any
		for _, r := range store() {
			if r.Key == "progress/"+id {
				Expect(codec.Unmarshal(r.Value, &progress)).To(Succeed())
			}
		}
		Expect(progress).To(HaveLen(4))
		Expect(progress[2]).To(HaveExactElements(HaveLen(5)))
	})

	It("are deleted from the store when the job is over", func() {
		e := tbl.Add(job(model.Step{Tasks: 1}))
		for range 2 {
			crash(e, ref(0, 0), attributed)
		}
		Expect(store()).To(ContainElement(port.Record{Key: "crashes/" + id}))
	})
})
