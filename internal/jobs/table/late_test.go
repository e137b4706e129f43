package table_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

var _ = Describe("The failure of a run that was given up", func() {
	It("counts once, and also for a later leader", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(model.Step{Tasks: 1}))
		end := func(n uint32, o msgs.Outcome) bool {
			_, found := tbl.EndRun(now, ref(0, 0), n, o, "")
			return found
		}
		assign := func() uint32 { return tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-1", Incarnation: 7}).Number }
		first := assign()
		Expect(end(first, msgs.Lost)).To(BeTrue())
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		loaded, errs := table.Load(batch.Records)
		Expect(errs).To(BeEmpty())
		tbl, e = loaded, loaded.Get(id)
		Expect(end(first, msgs.Failed)).To(BeTrue())
		Expect(end(first, msgs.Failed)).To(BeFalse(), "an end may be reported again")
		Expect(e.State.Ended()).To(BeFalse())
		second := assign()
		Expect(end(second, msgs.Failed)).To(BeTrue())
		Expect(e.State).To(Equal(table.Failed), "both attempts failed")
	})
})

var _ = Describe("A gang whose run was given up and is done", func() {
	It("is completed, and its later run is surplus", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(model.Step{Tasks: 2, Gang: true}))
		assign := func(number uint32) {
			for i := range 2 {
				tbl.Assign(e, ref(0, i), table.Run{Number: number, VM: "vm-1", Incarnation: 7})
			}
		}
		assign(1)
		for i := range 2 {
			tbl.EndRun(now, ref(0, i), 1, msgs.Lost, "")
		}
		assign(2)
		_, found := tbl.EndRun(now, ref(0, 1), 1, msgs.Done, "")
		Expect(found).To(BeTrue())
		Expect(e.State).To(Equal(table.Completed))
		Expect(e.Surplus()).To(ConsistOf(HaveField("Run.Number", uint32(2)), HaveField("Run.Number", uint32(2))))
		Expect(e.RunCount).To(Equal(2))
	})
})

var _ = Describe("A run that a worker lists though its task waits", func() {
	var tbl *table.Table
	var e *table.Entry
	BeforeEach(func() {
		tbl = &table.Table{}
		e = tbl.Add(job(model.Step{Tasks: 1}))
		tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-1"})
	})
	readopt := func() bool { return tbl.Readopt(ref(0, 0), table.Run{Number: 1, VM: "vm-1"}) }

	It("is taken back once if it was given up", func() {
		tbl.EndRun(now, ref(0, 0), 1, msgs.Lost, "")
		Expect(readopt()).To(BeTrue())
		Expect(e.Tasks[0].Runs).To(HaveLen(1))
		Expect(e.Stages[0].Waiting).To(BeEmpty())
		Expect(readopt()).To(BeFalse())
		tbl.EndRun(now, ref(0, 0), 1, msgs.Failed, "")
		tbl.EndRun(now, ref(0, 0), 1, msgs.Failed, "")
		Expect(e.Tasks[0].Failures).To(BeEquivalentTo(1))
	})

	It("is not taken back if another run has started", func() {
		tbl.EndRun(now, ref(0, 0), 1, msgs.Lost, "")
		tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-2"})
		Expect(readopt()).To(BeFalse())
	})

	// The list may be older than the end, or name a run because of its end.
	DescribeTable("is not taken back if it has ended", func(outcomes ...msgs.Outcome) {
		for _, o := range outcomes {
			tbl.EndRun(now, ref(0, 0), 1, o, "")
		}
		Expect(readopt()).To(BeFalse())
	},
		Entry("done", msgs.Done),
		Entry("failed", msgs.Failed),
		Entry("stopped", msgs.Stopped),
		Entry("failed after it was given up", msgs.Lost, msgs.Failed),
		Entry("stopped after it was given up", msgs.Lost, msgs.Stopped),
		Entry("lapsed after it was given up", msgs.Lost, msgs.LeaseExpired),
		Entry("done after it was given up", msgs.Lost, msgs.Done),
	)
})

var _ = Describe("The failure of a copy", func() {
	It("does not count once another run has completed its task", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(model.Step{Tasks: 2, Speculative: true}))
		var runs []uint32
		for range 3 {
			runs = append(runs, tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-1"}).Number)
		}
		tbl.EndRun(now, ref(0, 0), runs[0], msgs.Done, "")
		for _, n := range runs[1:] {
			tbl.EndRun(now, ref(0, 0), n, msgs.Failed, "")
		}
		Expect(e.State).To(Equal(table.Running))
		Expect(e.Tasks[0].Failures).To(BeZero())
	})
})

var _ = Describe("A record of an earlier version", func() {
	It("is loaded, without the runs that were given up", func() {
		type task struct {
			_          struct{} `cbor:",toarray"`
			Done       bool
			LastRun    uint32
			Runs       []table.Run
			Failures   uint16
			Checkpoint string
		}
		type progress struct {
			_      struct{} `cbor:",toarray"`
			State  table.State
			Reason string
			Tasks  []task
			Ended  time.Time
		}
		data, err := codec.Marshal(&progress{State: table.Running, Tasks: []task{{LastRun: 3, Failures: 1, Checkpoint: "c"}}})
		Expect(err).NotTo(HaveOccurred())
		var p table.Progress
		Expect(codec.Unmarshal(data, &p)).To(Succeed())
		Expect(p.Tasks).To(ConsistOf(table.Task{LastRun: 3, Failures: 1, Checkpoint: "c"}))
	})
})

var _ = Describe("The end of a run with an unknown outcome", func() {
	It("lets the task run again, and counts neither as done nor as a failure", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(model.Step{Tasks: 1}))
		assign := func() uint32 { return tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-1", Incarnation: 7}).Number }
		for range 5 {
			_, found := tbl.EndRun(now, ref(0, 0), assign(), msgs.Unknown, "c")
			Expect(found).To(BeTrue())
			Expect(e.State).To(Equal(table.Running))
			Expect(e.Stages[0].Waiting).To(ConsistOf(0))
			Expect(e.RunCount).To(BeZero())
		}
		Expect(e.Tasks[0]).To(And(HaveField("Failures", BeZero()), HaveField("Done", BeFalse()), HaveField("Checkpoint", "c")))
	})

	It("is no reason to take back a run that was given up", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(model.Step{Tasks: 1}))
		run := tbl.Assign(e, ref(0, 0), table.Run{VM: "vm-1", Incarnation: 7})
		tbl.EndRun(now, ref(0, 0), run.Number, msgs.Lost, "")
		tbl.EndRun(now, ref(0, 0), run.Number, msgs.Unknown, "")
		Expect(tbl.Readopt(ref(0, 0), run)).To(BeFalse(), "it is certain that the run is over")
	})
})
