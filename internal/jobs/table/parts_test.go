package table_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// storedRecords holds the newest record of each key, as the platform's store does.
type storedRecords map[string]port.Record

// add appends the records of a batch, which must be within the limits of the store.
func (s storedRecords) add(batch *table.Batch) {
	Expect(port.Limits{}.Covers(batch.Records)).To(BeTrue(), "%d records", len(batch.Records))
	for _, r := range batch.Records {
		s[r.Key] = r
		if len(r.Value) == 0 {
			delete(s, r.Key)
		}
	}
	batch.Stored()
}

// load returns the table that a later leader loads.
func (s storedRecords) load() (*table.Table, []error) {
	return table.Load(slices.Collect(maps.Values(s)))
}

// store stores all changes of a table and returns the number of bytes.
func (s storedRecords) store(tbl *table.Table) int {
	size := 0
	for tbl.Dirty() {
		batch, err := tbl.NextBatch(512 << 10)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range batch.Records {
			size += r.Size()
		}
		s.add(&batch)
	}
	return size
}

// sameTasks reports whether the tasks of the job in a table are as those of an entry.
func sameTasks(tbl *table.Table, e *table.Entry) bool {
	return slices.EqualFunc(tbl.Get(id).Tasks, e.Tasks, func(a, b table.Task) bool { return fmt.Sprint(a) == fmt.Sprint(b) })
}

// wideJob is the largest job that is accepted, in one step.
var wideJob = []model.Step{{Tasks: 8000, Speculative: true}}

// manySteps returns the steps of the largest job that is accepted, in a chain.
func manySteps() []model.Step {
	var steps []model.Step
	for i := range 250 {
		s := model.Step{Tasks: 32, Speculative: true}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	return steps
}

// placed is a run with names as long as those of the platform.
func placed(n int) table.Run {
	return table.Run{VM: fmt.Sprintf("i-7f3a91%04d", n), Incarnation: 1_780_000_000_000 + int64(n), Node: fmt.Sprintf("side-mx-centro-%03d", n)}
}

const checkpoint = "00000bb87a21d94b"

// A job whose progress outgrew the store's record held back the changes of all jobs.
var _ = Describe("The largest job", func() {
	DescribeTable("has records that the store takes, whatever happens to its tasks", func(steps []model.Step) {
		stored := storedRecords{}
		tbl := &table.Table{}
		e := tbl.Add(job(steps...))
		each := func(f func(ref model.TaskRef)) {
			for i := range e.Stages {
				for n := range e.StepOf(&e.Stages[i]).Tasks {
					f(e.Ref(&e.Stages[i], n))
				}
			}
			stored.store(tbl)
			loaded, faults := stored.load()
			Expect(faults).To(BeEmpty())
			Expect(sameTasks(loaded, e)).To(BeTrue())
			Expect(loaded.Get(id).State).To(Equal(e.State))
			Expect(loaded.Get(id).RunCount).To(Equal(e.RunCount))
			Expect(loaded.Get(id).Stages).To(HaveLen(len(e.Stages)))
		}
		each(func(ref model.TaskRef) { tbl.Assign(e, ref, placed(ref.Index%300)) })
		for range 16 { // as many runs as are remembered
			each(func(ref model.TaskRef) {
				tbl.EndRun(now, ref, e.Task(ref).LastRun, msgs.Lost, checkpoint)
				tbl.Assign(e, ref, placed(ref.Index%300))
			})
		}
		each(func(ref model.TaskRef) { tbl.AddCrash(now, ref, table.Crash{Run: 1, Excused: true}) })
		each(func(ref model.TaskRef) { tbl.AddCrash(now, ref, table.Crash{Run: 2, Doubtful: true}) })
		each(func(ref model.TaskRef) { tbl.Assign(e, ref, placed(ref.Index%300+1)) })
		loaded, _ := stored.load()
		Expect(loaded.Get(id).Crashes(e.Ref(&e.Stages[0], 31))).To(HaveLen(2))
		tbl.Cancel(now, e)
		each(func(ref model.TaskRef) {
			for _, r := range slices.Clone(e.Task(ref).Runs) {
				if e.RunCount > 1 {
					tbl.EndRun(now, ref, r.Number, msgs.Stopped, "")
				}
			}
		})
		last := e.Runs()[0]
		tbl.EndRun(now, last.Ref, last.Run.Number, msgs.Stopped, "")
		stored.store(tbl)
		Expect(stored).To(HaveLen(2), "the job and its final state")
	},
		Entry("in one step", wideJob), Entry("in many steps", manySteps()),
	)

	It("writes only the parts of the tasks that changed", func() {
		stored := storedRecords{}
		tbl := &table.Table{}
		e := tbl.Add(job(wideJob...))
		for i := range 8000 {
			tbl.Assign(e, ref(0, i), placed(i%300))
		}
		stored.store(tbl)
		tbl.EndRun(now, ref(0, 4711), 1, msgs.Done, "")
		Expect(stored.store(tbl)).To(BeNumerically("<", 8<<10))
	})
})

// What a later leader loads must be what the earlier one stored, whatever the order of changes.
var _ = Describe("A job in parts", func() {
	It("is loaded as it was stored, after random changes and changes of leader", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 45))
			stored := storedRecords{}
			tbl := &table.Table{}
			e := tbl.Add(job(model.Step{Tasks: 100}, model.Step{Tasks: 50, Gang: true}, model.Step{Tasks: 100, After: []int{0}}))
			e.Divide()
			for range 300 {
				ref := e.Ref(&e.Stages[rng.IntN(3)], rng.IntN(50))
				t := e.Task(ref)
				switch outcomes := []msgs.Outcome{msgs.Done, msgs.Lost, msgs.Stopped}; {
				case len(t.Runs) > 0:
					tbl.EndRun(now, ref, t.Runs[0].Number, outcomes[rng.IntN(3)], checkpoint)
				case !t.Done:
					tbl.Assign(e, ref, placed(rng.IntN(20)))
				}
				if rng.IntN(10) == 0 && t.LastRun > 0 {
					tbl.AddCrash(now, ref, table.Crash{Run: t.LastRun, Excused: true})
				}
				if e.State.Ended() {
					break
				}
				if rng.IntN(4) > 0 {
					continue
				}
				stored.store(tbl)
				loaded, faults := stored.load()
				Expect(faults).To(BeEmpty())
				Expect(sameTasks(loaded, e)).To(BeTrue(), "seed %d", seed)
				if rng.IntN(3) == 0 {
					tbl, e = loaded, loaded.Get(id)
				}
			}
		}
	})

	// No task may start if it is not known what has happened to it.
	DescribeTable("starts no task and can be cancelled if", func(harm func(storedRecords)) {
		stored := storedRecords{}
		tbl := &table.Table{}
		e := tbl.Add(job(wideJob...))
		e.Divide()
		tbl.Assign(e, ref(0, 100), placed(1))
		stored.store(tbl)
		before := maps.Clone(stored)
		tbl.EndRun(now, ref(0, 100), 1, msgs.Done, "")
		stored.store(tbl)
		stored["earlier"] = before["tasks/"+id+"/1"]
		harm(stored)
		delete(stored, "earlier")
		loaded, faults := stored.load()
		Expect(faults).To(HaveLen(1))
		e = loaded.Get(id)
		Expect(e.Unreadable).To(BeTrue())
		Expect(loaded.Active()).To(BeEmpty())
		loaded.Cancel(now, e)
		stored.store(loaded)
		Expect(stored).To(HaveLen(2))
		loaded, faults = stored.load()
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id).State).To(Equal(table.Cancelled))
	},
		Entry("a part is missing", func(s storedRecords) { delete(s, "tasks/"+id+"/1") }),
		Entry("a part cannot be decoded", func(s storedRecords) {
			s["tasks/"+id+"/1"] = port.Record{Key: "tasks/" + id + "/1", Value: []byte{1}}
		}),
		Entry("a part is of an earlier time", func(s storedRecords) { s["tasks/"+id+"/1"] = s["earlier"] }),
	)

	// An earlier version that leads during an upgrade would start all tasks again if it took
	// the record for progress without tasks.
	It("has progress that earlier versions cannot decode", func() {
		stored := storedRecords{}
		tbl := &table.Table{}
		tbl.Add(job(wideJob...)).Divide()
		stored.store(tbl)
		var earlier struct {
			_      struct{} `cbor:",toarray"`
			State  table.State
			Reason string
			Tasks  []table.Task
			Ended  time.Time
		}
		Expect(codec.Unmarshal(stored["progress/"+id].Value, &earlier)).NotTo(Succeed())
	})

	// A later version may have written the progress, and leads again soon.
	It("keeps its parts if its progress cannot be decoded", func() {
		stored := storedRecords{}
		tbl := &table.Table{}
		tbl.Add(job(wideJob...)).Divide()
		stored.store(tbl)
		before := len(stored)
		stored["progress/"+id] = port.Record{Key: "progress/" + id, Value: []byte{0x81, 1}}
		loaded, faults := stored.load()
		Expect(faults).NotTo(BeEmpty())
		Expect(loaded.Get(id).Unreadable).To(BeTrue())
		stored.store(loaded)
		Expect(stored).To(HaveLen(before))
	})

	It("leaves nothing behind if an earlier version purged it", func() {
		stored := storedRecords{}
		tbl := &table.Table{}
		tbl.Add(job(wideJob...)).Divide()
		stored.store(tbl)
		delete(stored, "job/"+id)
		delete(stored, "progress/"+id)
		loaded, _ := stored.load()
		stored.store(loaded)
		Expect(stored).To(BeEmpty())
	})

	It("leaves nothing behind if an earlier version ends it", func() {
		stored := storedRecords{}
		tbl := &table.Table{}
		tbl.Add(job(wideJob...)).Divide()
		stored.store(tbl)
		other := &table.Table{}
		e := other.Add(job(wideJob...))
		other.Cancel(now, e)
		stored.store(other)
		Expect(len(stored)).To(BeNumerically(">", 2))
		loaded, faults := stored.load()
		Expect(faults).To(BeEmpty())
		stored.store(loaded)
		Expect(stored).To(HaveLen(2))
	})
})

// Too few tasks to divide them, but names and checkpoints of unusual length.
var _ = Describe("A job of few tasks with large records", func() {
	It("is stored whole up to the limit, and is unstorable beyond it", func() {
		tbl := &table.Table{Limits: port.Limits{Record: 8000}}
		e := tbl.Add(job(model.Step{Tasks: 64}))
		for i := range 64 {
			tbl.Assign(e, ref(0, i), table.Run{VM: strings.Repeat("v", 80)})
		}
		batch, err := tbl.NextBatch(512 << 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(2))
		tbl.Assign(e, ref(0, 0), table.Run{VM: strings.Repeat("v", 3000)})
		batch, err = tbl.NextBatch(512 << 10)
		Expect(err).To(HaveOccurred())
		Expect(batch.Unstorable).To(ConsistOf(e))
		Expect(tbl.Withhold(now, e)).To(BeTrue())
		batch, err = tbl.NextBatch(512 << 10)
		Expect(err).NotTo(HaveOccurred())
		loaded, faults := table.Load(batch.Records)
		Expect(faults).To(BeEmpty())
		Expect(loaded.Get(id).State).To(Equal(table.Failed))
	})
})

var _ = Describe("A job of usual size", func() {
	It("is stored as earlier versions read it", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(model.Step{Tasks: 2000}))
		for i := range 2000 {
			tbl.Assign(e, ref(0, i), placed(i%11))
		}
		batch, err := tbl.NextBatch(512 << 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(2))
	})
})

var _ = Describe("A batch", func() {
	It("keeps to its limit, deletions included, and deletes before it writes", func() {
		tbl := &table.Table{}
		add := func(n int) *table.Entry {
			j := job(model.Step{Tasks: 1})
			j.ID = model.ID(fmt.Sprintf("%016x", n))
			j.Payload = strings.Repeat("x", 3000)
			return tbl.Add(j)
		}
		for n := range 2000 {
			tbl.Cancel(now, add(n))
		}
		storedRecords{}.store(tbl)
		tbl.Purge(now.Add(time.Hour))
		for n := range 2000 {
			add(n)
		}
		stored := storedRecords{}
		for tbl.Dirty() {
			batch, err := tbl.NextBatch(20 << 10)
			Expect(err).NotTo(HaveOccurred())
			size := 0
			for _, r := range batch.Records {
				size += r.Size()
			}
			Expect(size).To(BeNumerically("<=", 20<<10))
			stored.add(&batch)
		}
		Expect(stored).To(HaveLen(4000))
	})

	It("that the store did not take is repeated by the next ones, in order", func() {
		tbl := &table.Table{}
		e := tbl.Add(job(wideJob...))
		e.Divide()
		tbl.Assign(e, ref(0, 0), placed(1))
		batch, err := tbl.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		marked := tbl.Marked()
		tbl.Assign(e, ref(0, 7000), placed(2))
		tbl.Requeue(&batch)
		Expect(tbl.Batched()).To(BeNumerically("<", marked))
		stored := storedRecords{}
		stored.store(tbl)
		loaded, faults := stored.load()
		Expect(faults).To(BeEmpty())
		Expect(sameTasks(loaded, e)).To(BeTrue())
		Expect(tbl.Batched()).To(Equal(tbl.Marked()))
	})
})
