package table_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// gangRuns is a gang of three members whose runs end, under one or several leaders.
type gangRuns struct {
	tbl     *table.Table
	e       *table.Entry
	records map[string]port.Record
}

// newGangRuns returns a gang of a job that has n tasks before it.
func newGangRuns(n, attempts int) *gangRuns {
	g := &gangRuns{tbl: &table.Table{}, records: map[string]port.Record{}}
	j := job(model.Step{Tasks: max(1, n)}, model.Step{Tasks: 3, Gang: true})
	j.Queue.MaxAttempts = attempts
	g.e = g.tbl.Add(j)
	return g
}

// start starts a run of the gang.
func (g *gangRuns) start(number uint32) {
	for i := range 3 {
		g.tbl.Assign(g.e, ref(1, i), table.Run{Number: number, VM: "vm-1", Incarnation: 7})
	}
}

// end ends the run of a member.
func (g *gangRuns) end(member int, number uint32, o msgs.Outcome) {
	g.tbl.EndRun(now, ref(1, member), number, o, "")
}

// store adds what has changed to the records in the store.
func (g *gangRuns) store() {
	batch, err := g.tbl.NextBatch(1 << 20)
	Expect(err).NotTo(HaveOccurred())
	batch.Stored()
	for _, r := range batch.Records {
		g.records[r.Key] = r
		if len(r.Value) == 0 {
			delete(g.records, r.Key)
		}
	}
}

// lead lets a new leader take over. An earlier version of the program has written the records unless
// they have the runs whose failures are counted.
func (g *gangRuns) lead(earlier bool) {
	g.store()
	var list []port.Record
	for key, r := range g.records {
		if !earlier || !strings.HasPrefix(key, "failures/") {
			list = append(list, r)
		}
	}
	loaded, errs := table.Load(list)
	Expect(errs).To(BeEmpty())
	g.tbl, g.e = loaded, loaded.Get(id)
}

// A gang was shown as failed after one run of two allowed, as two of its members had failed in that.
var _ = Describe("The failures of a gang's members", func() {
	const attempts = 3
	DescribeTable("count once for a run", func(want int, steps func(*gangRuns)) {
		for _, before := range []int{1, 200} { // 200 tasks before the gang: its progress may be stored in parts
			for _, change := range []bool{false, true} {
				g := newGangRuns(before, attempts)
				if before > 1 {
					Expect(g.e.Divide()).To(BeTrue())
				}
				g.start(1)
				steps(g)
				Expect(g.e.Tasks[g.e.Stages[1].First].Failures).To(BeEquivalentTo(want))
				if change {
					g.lead(false)
				}
				Expect(g.e.State.Ended()).To(Equal(want >= attempts))
				if !g.e.State.Ended() { // else the store has nothing of its tasks
					Expect(g.e.Tasks[g.e.Stages[1].First].Failures).To(BeEquivalentTo(want))
				}
			}
		}
	},
		Entry("if one fails", 1, func(g *gangRuns) {
			g.end(0, 1, msgs.Failed)
			g.end(1, 1, msgs.Broken)
			g.end(2, 1, msgs.Broken)
		}),
		Entry("if all fail", 1, func(g *gangRuns) {
			for i := range 3 {
				g.end(i, 1, msgs.Failed)
			}
		}),
		Entry("if two fail, the first member after the others", 1, func(g *gangRuns) {
			g.end(2, 1, msgs.Failed)
			g.end(1, 1, msgs.Broken)
			g.end(0, 1, msgs.Failed)
		}),
		Entry("beside other outcomes", 1, func(g *gangRuns) {
			g.end(0, 1, msgs.Alone)
			g.end(1, 1, msgs.Failed)
			g.end(2, 1, msgs.Failed)
		}),
		Entry("beside a member that is lost, and fails late", 1, func(g *gangRuns) {
			g.end(0, 1, msgs.Lost)
			g.end(1, 1, msgs.Failed)
			g.end(2, 1, msgs.Broken)
			g.end(0, 1, msgs.Failed)
		}),
		Entry("if a member is lost after another has failed, and fails late after a later run", 2, func(g *gangRuns) {
			g.end(1, 1, msgs.Failed)
			g.end(0, 1, msgs.Lost)
			g.end(2, 1, msgs.Broken)
			g.start(2)
			g.end(2, 2, msgs.Failed)
			g.end(0, 1, msgs.Failed)
		}),
		Entry("if all are lost, and fail late after a later run has failed", 2, func(g *gangRuns) {
			for i := range 3 {
				g.end(i, 1, msgs.Lost)
			}
			g.start(2)
			g.end(0, 2, msgs.Failed)
			for i := range 3 {
				g.end(i, 1, msgs.Failed)
			}
		}),
		Entry("if all are lost, and fail late while a later run goes on", 1, func(g *gangRuns) {
			for i := range 3 {
				g.end(i, 1, msgs.Lost)
			}
			g.start(2)
			for i := range 3 {
				g.end(i, 1, msgs.Failed)
			}
		}),
		Entry("so that it fails after as many runs as are allowed", attempts, func(g *gangRuns) {
			for n := uint32(1); n <= attempts; n++ {
				if n > 1 {
					g.start(n)
				}
				for i := range 3 {
					g.end(i, n, msgs.Failed)
				}
			}
		}),
		Entry("not at all if it is done", 0, func(g *gangRuns) {
			g.end(0, 1, msgs.Broken)
			g.end(1, 1, msgs.Broken)
		}),
	)

	It("count once for a run with a new leader between them", func() {
		for member := range 3 {
			g := newGangRuns(1, attempts)
			g.start(1)
			g.end(member, 1, msgs.Failed)
			g.lead(false)
			for i := range 3 {
				if i != member {
					g.end(i, 1, msgs.Failed)
				}
			}
			Expect(g.e.Tasks[1].Failures).To(BeEquivalentTo(1))
			g.lead(false)
			g.start(2)
			g.end(0, 2, msgs.Failed)
			Expect(g.e.Tasks[1].Failures).To(BeEquivalentTo(2))
		}
	})

	It("count once for a run that failed first under an earlier version of the program", func() {
		g := newGangRuns(1, attempts)
		g.start(1)
		g.end(0, 1, msgs.Failed)
		g.lead(true)
		g.end(1, 1, msgs.Failed)
		g.end(2, 1, msgs.Failed)
		Expect(g.e.Tasks[1].Failures).To(BeEquivalentTo(1))
		g.start(2)
		g.lead(true)
		g.end(0, 2, msgs.Failed)
		Expect(g.e.Tasks[1].Failures).To(BeEquivalentTo(2), "the failure of the earlier version is of an earlier run")
	})

	It("are read by earlier versions of the program as a count, which they go on with", func() {
		g := newGangRuns(1, attempts)
		g.start(1)
		g.end(0, 1, msgs.Failed)
		g.store()
		Expect(g.records).To(And(HaveKey("progress/"+string(id)), HaveKey("failures/"+string(id))))
		var p table.Progress
		Expect(codec.Unmarshal(g.records["progress/"+string(id)].Value, &p)).To(Succeed())
		Expect(p.Tasks[1].Failures).To(BeEquivalentTo(1))
	})

	It("leave nothing in the store once the job is over", func() {
		g := newGangRuns(1, 1)
		g.start(1)
		for i := range 3 {
			g.end(i, 1, msgs.Failed)
		}
		Expect(g.e.State).To(Equal(table.Failed))
		g.store()
		Expect(g.records).NotTo(HaveKey("failures/" + string(id)))
	})

	It("are deleted from the store if their job is not there any more", func() {
		g := newGangRuns(1, attempts)
		g.start(1)
		g.end(0, 1, msgs.Failed)
		g.store()
		loaded, errs := table.Load([]port.Record{g.records["failures/"+string(id)]})
		Expect(errs).To(BeEmpty())
		batch, err := loaded.NextBatch(1 << 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(ConsistOf(port.Record{Key: "failures/" + string(id)}))
	})

	It("of occurrences of a schedule count for each", func() {
		tbl := &table.Table{}
		j := job(model.Step{Tasks: 2, Gang: true})
		j.Repeat, j.Queue.MaxAttempts = 2, 2
		e := tbl.Add(j)
		for k := range 2 {
			for i := range 2 {
				r := model.TaskRef{Job: id, Occurrence: k, Index: i}
				tbl.Assign(e, r, table.Run{Number: 1, VM: "vm-1"})
			}
			for i := range 2 {
				tbl.EndRun(now, model.TaskRef{Job: id, Occurrence: k, Index: i}, 1, msgs.Failed, "")
			}
		}
		Expect(e.Tasks[0].Failures).To(BeEquivalentTo(1))
		Expect(e.Tasks[2].Failures).To(BeEquivalentTo(1))
		Expect(e.State.Ended()).To(BeFalse())
	})
})
