package fold_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var epoch = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

// journal builds a log and folds it.
type journal struct {
	fold    fold.Fold
	entries [][]byte
	seqs    map[string]uint64
	at      time.Time
}

func newJournal(writers ...string) *journal {
	j := &journal{seqs: map[string]uint64{}, at: epoch}
	for _, w := range writers {
		j.add(w, &schema.Record{Body: &schema.Record_Hello{Hello: &schema.Hello{Name: w, PeerAddr: "10.0.0.1:1"}}})
	}
	return j
}

func (j *journal) add(writer string, records ...*schema.Record) fold.Effect {
	j.seqs[writer]++
	for i, r := range records {
		r.Id = uint64(i + 1)
	}
	j.at = j.at.Add(time.Second)
	return j.put(frame.Encode(&schema.Batch{Writer: writer, Seq: j.seqs[writer], AtMs: j.at.UnixMilli(), Records: records}))
}

func (j *journal) put(data []byte) fold.Effect {
	j.entries = append(j.entries, data)
	return j.fold.Apply(uint64(len(j.entries)), data)
}

func claim(term uint64) *schema.Record {
	return &schema.Record{Cell: "main", Body: &schema.Record_Claim{Claim: &schema.Claim{Term: term}}}
}

func config(team string, base uint64, body string) *schema.Record {
	return &schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{Team: team, Base: base, Body: []byte(body)}}}
}

func job(team, key string, tasks uint32) *schema.Record {
	return &schema.Record{Cell: "main", Body: &schema.Record_Job{Job: &schema.JobAccept{
		Job: ident.BatchJob(team, key), Team: team, Key: key, Tasks: tasks, Size: &schema.Size{CpuMilli: 1000}, MaxFailures: 2,
	}}}
}

func grant(term uint64, vm, jobID string, index, ep uint32) *schema.Record {
	ref := &schema.TaskRef{Job: jobID, Index: index, Epoch: ep}
	return &schema.Record{Cell: "main", Term: term, Body: &schema.Record_Grants{Grants: &schema.Grants{
		Vms: []*schema.VMGrants{{Vm: vm, Tasks: []*schema.TaskRef{ref}}},
	}}}
}

func result(term uint64, vm, jobID string, index, ep uint32, o schema.Outcome) *schema.Record {
	return &schema.Record{Cell: "main", Term: term, Body: &schema.Record_Results{Results: &schema.Results{
		Results: []*schema.Result{{Task: &schema.TaskRef{Job: jobID, Index: index, Epoch: ep}, Vm: vm, Outcome: o}},
	}}}
}

const teamBody = `{"quota": {"cpu": 2}, "batch": {"b": {"cpu": 1}}}`

func running() (*journal, string) {
	j := newJournal("w1", "w2")
	j.add("w1", claim(1), config("t", 0, teamBody), job("t", "k", 4))
	return j, ident.BatchJob("t", "k")
}

var _ = Describe("the fold", func() {
	It("keeps writers that joined before the first leader set the clock", func() {
		j := newJournal("w1", "w2")
		j.add("w1", claim(1))
		j.add("w1", claim(1))
		Expect(j.fold.Entries()).To(HaveLen(2))
	})

	It("ignores duplicates, late batches and unknown writers", func() {
		j, id := running()
		first := j.entries[2]
		Expect(j.put(first).Writer).To(BeEmpty())
		stray := frame.Encode(&schema.Batch{Writer: "stranger", Seq: 1, Records: []*schema.Record{claim(2)}})
		Expect(j.put(stray).Writer).To(BeEmpty())
		Expect(j.put([]byte("alien")).Writer).To(BeEmpty())
		Expect(j.put(first[:len(first)-1]).Writer).To(BeEmpty())
		s := j.fold.Stats()
		Expect([]uint64{s.Duplicates, s.Unregistered, s.Foreign, s.Corrupt}).To(Equal([]uint64{1, 1, 1, 1}))
		Expect(j.fold.Job(id).Waiting()).To(BeEquivalentTo(4))
	})

	It("never goes back to an offset that it has read", func() {
		j, _ := running()
		next := j.fold.Next()
		j.fold.Apply(1, j.entries[0])
		Expect(j.fold.Next()).To(Equal(next))
	})

	It("takes the first claim of a term and ignores records of an old leader", func() {
		j, id := running()
		Expect(j.add("w2", claim(2)).Records[0].Code).To(Equal(codes.OK))
		Expect(j.add("w1", claim(2)).Records[0].Code).To(Equal(codes.Leaving))
		j.add("w1", grant(1, "vm", id, 0, 1))
		Expect(j.fold.GrantedTo("vm")).To(BeEmpty())
		j.add("w2", grant(2, "vm", id, 0, 1))
		Expect(j.fold.GrantedTo("vm")).To(HaveLen(1))
	})

	It("holds a team's quota exactly", func() {
		j, id := running()
		j.add("w1", grant(1, "vm", id, 0, 1), grant(1, "vm", id, 1, 1), grant(1, "vm", id, 2, 1))
		Expect(j.fold.GrantedTo("vm")).To(HaveLen(2))
		j.add("w1", result(1, "vm", id, 0, 1, schema.Outcome_OUTCOME_COMPLETED), grant(1, "vm", id, 2, 1))
		Expect(j.fold.GrantedTo("vm")).To(HaveLen(2))
		Expect(j.fold.Team("t").Used().GetCpuMilli()).To(BeEquivalentTo(2000))
	})

	It("gives each attempt one holder and takes one result", func() {
		j, id := running()
		j.add("w1", grant(1, "a", id, 0, 1), grant(1, "b", id, 0, 1), grant(1, "b", id, 0, 2))
		Expect(j.fold.GrantedTo("a")).To(HaveLen(1))
		Expect(j.fold.GrantedTo("b")).To(BeEmpty())
		j.add("w1", &schema.Record{Cell: "main", Term: 1, Body: &schema.Record_Revoke{Revoke: &schema.VMRevoke{Vm: "a"}}})
		j.add("w1", grant(1, "b", id, 0, 2))
		j.add("w1", result(1, "a", id, 0, 1, schema.Outcome_OUTCOME_COMPLETED))
		Expect(j.fold.Job(id).Done).To(BeZero())
		j.add("w1", result(1, "b", id, 0, 2, schema.Outcome_OUTCOME_COMPLETED))
		j.add("w1", result(1, "b", id, 0, 2, schema.Outcome_OUTCOME_COMPLETED))
		Expect(j.fold.Job(id).Done).To(BeEquivalentTo(1))
	})

	It("parks a task that fails too often", func() {
		j, id := running()
		for n := range uint32(2) {
			j.add("w1", grant(1, "vm", id, 0, n+1), result(1, "vm", id, 0, n+1, schema.Outcome_OUTCOME_FAILED))
		}
		Expect(j.fold.Job(id).Tasks[0].State).To(Equal(fold.Parked))
	})

	It("accepts the first of two racing publishes and never lowers a revision", func() {
		j, _ := running()
		Expect(j.add("w1", config("t", 1, teamBody)).Records[0].Revision).To(BeEquivalentTo(2))
		Expect(j.add("w2", config("t", 1, teamBody)).Records[0].Code).To(Equal(codes.ConfigStale))
		remove := &schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{Team: "t", Base: 2, Delete: true}}}
		Expect(j.add("w1", remove).Records[0].Revision).To(BeEquivalentTo(3))
		Expect(j.add("w1", job("t", "new", 1)).Records[0].Code).To(Equal(codes.UnknownTeam))
		Expect(j.add("w1", config("t", 0, teamBody)).Records[0].Code).To(Equal(codes.ConfigStale))
		Expect(j.add("w1", config("t", 3, teamBody)).Records[0].Revision).To(BeEquivalentTo(4))
	})

	It("lets accepted jobs end after their team is deleted", func() {
		j, id := running()
		j.add("w1", &schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{Team: "t", Base: 1, Delete: true}}})
		j.add("w1", grant(1, "vm", id, 0, 1), result(1, "vm", id, 0, 1, schema.Outcome_OUTCOME_COMPLETED))
		Expect(j.fold.Job(id).Done).To(BeEquivalentTo(1))
	})

	It("gives a key's job once and refuses another body under it", func() {
		j, id := running()
		Expect(j.add("w2", job("t", "k", 4)).Records[0].Code).To(Equal(codes.OK))
		other := job("t", "k", 4)
		other.GetJob().BodyHash = []byte("other")
		Expect(j.add("w2", other).Records[0].Code).To(Equal(codes.KeyConflict))
		Expect(j.fold.Job(id).Count).To(BeEquivalentTo(4))
	})

	It("never gives a replica an epoch that one before it had", func() {
		j := newJournal("w1")
		body := `{"services": {"s": {"cpu": 1, "replicas": %d}}}`
		j.add("w1", claim(1), config("t", 0, fmt.Sprintf(body, 1)))
		id := ident.ServiceJob("t", "s")
		j.add("w1", grant(1, "vm", id, 0, 1))
		j.add("w1", config("t", 1, fmt.Sprintf(body, 0)))
		Expect(j.fold.GrantedTo("vm")).To(BeEmpty())
		j.add("w1", config("t", 2, fmt.Sprintf(body, 1)))
		j.add("w1", grant(1, "vm", id, 0, 1))
		Expect(j.fold.GrantedTo("vm")).To(BeEmpty())
		j.add("w1", grant(1, "vm", id, 0, 2))
		Expect(j.fold.GrantedTo("vm")).To(HaveLen(1))
	})

	It("forgets ended jobs only after the stated times", func() {
		j, id := running()
		j.add("w1", &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: id, Team: "t"}}})
		for j.fold.Clock().Sub(epoch) < fold.TaskRetention+2*time.Minute {
			j.add("w1", claim(1))
		}
		Expect(j.fold.Job(id)).NotTo(BeNil())
		Expect(j.fold.Job(id).Tasks).To(BeNil())
	})

	It("is the same after any snapshot point, with duplicates in between", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			j := randomJournal(t)
			at := rapid.IntRange(0, len(j.entries)).Draw(t, "snapshot")
			before := &fold.Fold{}
			for i, data := range j.entries[:at] {
				before.Apply(uint64(i+1), data)
			}
			resumed := fold.Decode(before.Encode())
			for i, data := range j.entries {
				resumed.Apply(uint64(i+1), data) // those before the snapshot are ignored
			}
			if !proto.Equal(resumed.Encode(), j.fold.Encode()) {
				t.Fatalf("differs after a snapshot at %d:\n%v\n%v", at, resumed.Encode(), j.fold.Encode())
			}
		})
	})

	It("loads the latest complete snapshot from what the log retains", func() {
		j, id := running()
		state, err := proto.Marshal(j.fold.Encode())
		Expect(err).NotTo(HaveOccurred())
		var l fold.SnapshotLoader
		part := func(n uint32, data []byte) *schema.Record {
			return &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{Id: 9, Part: n, Data: data}}}
		}
		mark := func(parts uint32) *schema.Record {
			return &schema.Record{Body: &schema.Record_Mark{Mark: &schema.SnapshotMark{Id: 9, Parts: parts, Crc: crcOf(state)}}}
		}
		l.Scan(&schema.Batch{Records: []*schema.Record{part(1, state[10:]), mark(2)}})
		Expect(l.State()).To(BeNil(), "half a snapshot")
		l.Scan(&schema.Batch{Records: []*schema.Record{part(0, state[:10]), part(1, state[10:]), mark(2)}})
		Expect(fold.Decode(l.State()).Job(id).Count).To(BeEquivalentTo(4))
	})
})

// randomJournal draws a log of three writers with duplicates and torn entries.
func randomJournal(t *rapid.T) *journal {
	j := newJournal("w1", "w2", "w3")
	writers := []string{"w1", "w2", "w3"}
	term := uint64(0)
	for range rapid.IntRange(5, 60).Draw(t, "records") {
		w := rapid.SampledFrom(writers).Draw(t, "writer")
		key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		id, index := ident.BatchJob("t", key), rapid.Uint32Range(0, 3).Draw(t, "index")
		ep := rapid.Uint32Range(1, 3).Draw(t, "epoch")
		vm := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "vm")
		switch rapid.IntRange(0, 8).Draw(t, "what") {
		case 0:
			term++
			j.add(w, claim(term))
		case 1:
			j.add(w, config("t", rapid.Uint64Range(0, 3).Draw(t, "base"), teamBody))
		case 2:
			j.add(w, job("t", key, 4))
		case 3, 4:
			j.add(w, grant(term, vm, id, index, ep))
		case 5:
			o := schema.Outcome(rapid.Int32Range(1, 5).Draw(t, "outcome"))
			j.add(w, result(term, vm, id, index, ep, o))
		case 6:
			j.add(w, &schema.Record{Cell: "main", Term: term, Body: &schema.Record_Revoke{Revoke: &schema.VMRevoke{Vm: vm}}})
		case 7:
			j.add(w, &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: id, Team: "t"}}})
		case 8:
			old := rapid.SampledFrom(j.entries).Draw(t, "old")
			j.put(old[:len(old)-rapid.IntRange(0, 1).Draw(t, "torn")])
		}
	}
	return j
}
