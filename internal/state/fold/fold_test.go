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

var startTime = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

// testLog builds a log and applies it to a fold.
type testLog struct {
	fold    fold.Fold
	entries [][]byte
	seqs    map[string]uint64
	at      time.Time
}

func newTestLog(writers ...string) *testLog {
	log := &testLog{seqs: map[string]uint64{}, at: startTime}
	for _, w := range writers {
		log.appendBatch(w, &schema.Record{Body: &schema.Record_Hello{Hello: &schema.Hello{Name: w, PeerAddr: "10.0.0.1:1"}}})
	}
	return log
}

// appendBatch appends a batch with the writer's next sequence number, one second
// after the previous batch. The writer has read all that the log holds, unless a claim
// says otherwise.
func (log *testLog) appendBatch(writer string, records ...*schema.Record) fold.Effect {
	log.seqs[writer]++
	for i, r := range records {
		r.Id = uint64(i + 1)
		if c := r.GetClaim(); c != nil && c.GetRead() == 0 {
			c.Read = log.fold.Next()
		}
	}
	log.at = log.at.Add(time.Second)
	return log.appendEntry(frame.Encode(&schema.Batch{Writer: writer, Seq: log.seqs[writer], AtMs: log.at.UnixMilli(), Records: records}))
}

func (log *testLog) appendEntry(data []byte) fold.Effect {
	log.entries = append(log.entries, data)
	return log.fold.Apply(uint64(len(log.entries)), data)
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

func grant(term uint64, vm, jobID string, index, epoch uint32) *schema.Record {
	ref := &schema.TaskRef{Job: jobID, Index: index, Epoch: epoch}
	return &schema.Record{Cell: "main", Term: term, Body: &schema.Record_Grants{Grants: &schema.Grants{
		Vms: []*schema.VMGrants{{Vm: vm, Tasks: []*schema.TaskRef{ref}}},
	}}}
}

func result(term uint64, vm, jobID string, index, epoch uint32, o schema.Outcome) *schema.Record {
	return &schema.Record{Cell: "main", Term: term, Body: &schema.Record_Results{Results: &schema.Results{
		Results: []*schema.Result{{Task: &schema.TaskRef{Job: jobID, Index: index, Epoch: epoch}, Vm: vm, Outcome: o}},
	}}}
}

const teamBody = `{"quota": {"cpu": 2}, "batch": {"b": {"cpu": 1}}}`

// newLogWithJob returns a log in which w1 leads the cell and a job of four tasks
// waits, and the job's id.
func newLogWithJob() (*testLog, string) {
	log := newTestLog("w1", "w2")
	log.appendBatch("w1", claim(1), config("t", 0, teamBody), job("t", "k", 4))
	return log, ident.BatchJob("t", "k")
}

var _ = Describe("Fold", func() {
	It("keeps writers that joined before the first leader set the clock", func() {
		log := newTestLog("w1", "w2")
		log.appendBatch("w1", claim(1))
		log.appendBatch("w1", claim(1))
		Expect(log.fold.Entries()).To(HaveLen(2))
	})

	It("ignores duplicates, late batches and unknown writers", func() {
		log, id := newLogWithJob()
		first := log.entries[2]
		Expect(log.appendEntry(first).Writer).To(BeEmpty())
		stray := frame.Encode(&schema.Batch{Writer: "stranger", Seq: 1, Records: []*schema.Record{claim(2)}})
		Expect(log.appendEntry(stray).Writer).To(BeEmpty())
		Expect(log.appendEntry([]byte("alien")).Writer).To(BeEmpty())
		Expect(log.appendEntry(first[:len(first)-1]).Writer).To(BeEmpty())
		s := log.fold.Stats()
		Expect([]uint64{s.Duplicates, s.Unregistered, s.Foreign, s.Corrupt}).To(Equal([]uint64{1, 1, 1, 1}))
		Expect(log.fold.Job(id).Waiting()).To(BeEquivalentTo(4))
	})

	It("ignores log entries at offsets that were applied before", func() {
		log, _ := newLogWithJob()
		next := log.fold.Next()
		log.fold.Apply(1, log.entries[0])
		Expect(log.fold.Next()).To(Equal(next))
	})

	// The claimant would wait for the leases of the old leader from too early a time.
	It("refuses the claim of a writer that has not read the leader's latest renewal", func() {
		log := newTestLog("w1", "w2")
		log.appendBatch("w1", claim(1))
		early := claim(2)
		early.GetClaim().Read = log.fold.Next()
		log.appendBatch("w1", claim(1))
		Expect(log.appendBatch("w2", early).Records[0].Code).To(Equal(codes.Leaving))
		Expect(log.fold.Cell("main").Leader).To(Equal("w1"))
		Expect(log.appendBatch("w2", claim(2)).Records[0].Code).To(Equal(codes.OK))
	})

	It("accepts the first claim of a term and ignores records of an old leader", func() {
		log, id := newLogWithJob()
		Expect(log.appendBatch("w2", claim(2)).Records[0].Code).To(Equal(codes.OK))
		Expect(log.appendBatch("w1", claim(2)).Records[0].Code).To(Equal(codes.Leaving))
		log.appendBatch("w1", grant(1, "vm", id, 0, 1))
		Expect(log.fold.GrantedTo("vm")).To(BeEmpty())
		log.appendBatch("w2", grant(2, "vm", id, 0, 1))
		Expect(log.fold.GrantedTo("vm")).To(HaveLen(1))
	})

	It("never grants more than a team's quota", func() {
		log, id := newLogWithJob()
		log.appendBatch("w1", grant(1, "vm", id, 0, 1), grant(1, "vm", id, 1, 1), grant(1, "vm", id, 2, 1))
		Expect(log.fold.GrantedTo("vm")).To(HaveLen(2))
		log.appendBatch("w1", result(1, "vm", id, 0, 1, schema.Outcome_OUTCOME_COMPLETED), grant(1, "vm", id, 2, 1))
		Expect(log.fold.GrantedTo("vm")).To(HaveLen(2))
		Expect(log.fold.Team("t").Used().GetCpuMilli()).To(BeEquivalentTo(2000))
	})

	It("grants each attempt to one VM and accepts one result for it", func() {
		log, id := newLogWithJob()
		log.appendBatch("w1", grant(1, "a", id, 0, 1), grant(1, "b", id, 0, 1), grant(1, "b", id, 0, 2))
		Expect(log.fold.GrantedTo("a")).To(HaveLen(1))
		Expect(log.fold.GrantedTo("b")).To(BeEmpty())
		log.appendBatch("w1", &schema.Record{Cell: "main", Term: 1, Body: &schema.Record_Revoke{Revoke: &schema.VMRevoke{Vm: "a"}}})
		log.appendBatch("w1", grant(1, "b", id, 0, 2))
		log.appendBatch("w1", result(1, "a", id, 0, 1, schema.Outcome_OUTCOME_COMPLETED))
		Expect(log.fold.Job(id).Done).To(BeZero())
		log.appendBatch("w1", result(1, "b", id, 0, 2, schema.Outcome_OUTCOME_COMPLETED))
		log.appendBatch("w1", result(1, "b", id, 0, 2, schema.Outcome_OUTCOME_COMPLETED))
		Expect(log.fold.Job(id).Done).To(BeEquivalentTo(1))
	})

	It("parks a task once it has failed as often as its job allows", func() {
		log, id := newLogWithJob()
		for n := range uint32(2) {
			log.appendBatch("w1", grant(1, "vm", id, 0, n+1), result(1, "vm", id, 0, n+1, schema.Outcome_OUTCOME_FAILED))
		}
		Expect(log.fold.Job(id).Tasks[0].State).To(Equal(fold.Parked))
	})

	It("accepts the first of two concurrent configuration changes and never lowers a revision", func() {
		log, _ := newLogWithJob()
		Expect(log.appendBatch("w1", config("t", 1, teamBody)).Records[0].Revision).To(BeEquivalentTo(2))
		Expect(log.appendBatch("w2", config("t", 1, teamBody)).Records[0].Code).To(Equal(codes.ConfigStale))
		remove := &schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{Team: "t", Base: 2, Delete: true}}}
		Expect(log.appendBatch("w1", remove).Records[0].Revision).To(BeEquivalentTo(3))
		Expect(log.appendBatch("w1", job("t", "new", 1)).Records[0].Code).To(Equal(codes.UnknownTeam))
		Expect(log.appendBatch("w1", config("t", 0, teamBody)).Records[0].Code).To(Equal(codes.ConfigStale))
		Expect(log.appendBatch("w1", config("t", 3, teamBody)).Records[0].Revision).To(BeEquivalentTo(4))
	})

	It("lets accepted jobs complete after their team is deleted", func() {
		log, id := newLogWithJob()
		log.appendBatch("w1", &schema.Record{Body: &schema.Record_Config{Config: &schema.ConfigPut{Team: "t", Base: 1, Delete: true}}})
		log.appendBatch("w1", grant(1, "vm", id, 0, 1), result(1, "vm", id, 0, 1, schema.Outcome_OUTCOME_COMPLETED))
		Expect(log.fold.Job(id).Done).To(BeEquivalentTo(1))
	})

	It("creates one job per idempotency key and refuses a different body under the same key", func() {
		log, id := newLogWithJob()
		Expect(log.appendBatch("w2", job("t", "k", 4)).Records[0].Code).To(Equal(codes.OK))
		other := job("t", "k", 4)
		other.GetJob().BodyHash = []byte("other")
		Expect(log.appendBatch("w2", other).Records[0].Code).To(Equal(codes.KeyConflict))
		Expect(log.fold.Job(id).Count).To(BeEquivalentTo(4))
	})

	It("never gives a new replica an epoch that a removed one had", func() {
		log := newTestLog("w1")
		body := `{"services": {"s": {"cpu": 1, "replicas": %d}}}`
		log.appendBatch("w1", claim(1), config("t", 0, fmt.Sprintf(body, 1)))
		id := ident.ServiceJob("t", "s")
		log.appendBatch("w1", grant(1, "vm", id, 0, 1))
		log.appendBatch("w1", config("t", 1, fmt.Sprintf(body, 0)))
		Expect(log.fold.GrantedTo("vm")).To(BeEmpty())
		log.appendBatch("w1", config("t", 2, fmt.Sprintf(body, 1)))
		log.appendBatch("w1", grant(1, "vm", id, 0, 1))
		Expect(log.fold.GrantedTo("vm")).To(BeEmpty())
		log.appendBatch("w1", grant(1, "vm", id, 0, 2))
		Expect(log.fold.GrantedTo("vm")).To(HaveLen(1))
	})

	It("removes the tasks of an ended job after TaskRetention but keeps the job", func() {
		log, id := newLogWithJob()
		log.appendBatch("w1", &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: id, Team: "t"}}})
		for log.fold.Clock().Sub(startTime) < fold.TaskRetention+2*time.Minute {
			log.appendBatch("w1", claim(1))
		}
		Expect(log.fold.Job(id)).NotTo(BeNil())
		Expect(log.fold.Job(id).Tasks).To(BeNil())
	})

	It("reaches the same state from a snapshot at any offset, with duplicates in the log", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			log := randomLog(t)
			cut := rapid.IntRange(0, len(log.entries)).Draw(t, "snapshot")
			before := &fold.Fold{}
			for i, data := range log.entries[:cut] {
				before.Apply(uint64(i+1), data)
			}
			resumed := fold.Decode(before.Encode())
			for i, data := range log.entries {
				resumed.Apply(uint64(i+1), data) // entries that the snapshot covers are ignored
			}
			if !proto.Equal(resumed.Encode(), log.fold.Encode()) {
				t.Fatalf("differs after a snapshot at %d:\n%v\n%v", cut, resumed.Encode(), log.fold.Encode())
			}
			if resumed.JobMemory() != log.fold.JobMemory() {
				t.Fatalf("counts %d bytes of jobs after a snapshot at %d, want %d", resumed.JobMemory(), cut, log.fold.JobMemory())
			}
		})
	})

	It("loads the latest complete snapshot from the retained part of the log", func() {
		log, id := newLogWithJob()
		state, err := proto.Marshal(log.fold.Encode())
		Expect(err).NotTo(HaveOccurred())
		var l fold.SnapshotLoader
		part := func(n uint32, data []byte) *schema.Record {
			return &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{Id: 9, Part: n, Data: data}}}
		}
		mark := func(parts uint32) *schema.Record {
			return &schema.Record{Body: &schema.Record_Mark{Mark: &schema.SnapshotMark{Id: 9, Parts: parts, Crc: snapshotCRC(state)}}}
		}
		l.Scan(&schema.Batch{Records: []*schema.Record{part(1, state[10:]), mark(2)}})
		Expect(l.State()).To(BeNil(), "the first part is missing")
		l.Scan(&schema.Batch{Records: []*schema.Record{part(0, state[:10]), part(1, state[10:]), mark(2)}})
		Expect(fold.Decode(l.State()).Job(id).Count).To(BeEquivalentTo(4))
	})
})

// randomLog draws a log of three writers with duplicates and truncated entries.
func randomLog(t *rapid.T) *testLog {
	log := newTestLog("w1", "w2", "w3")
	writers := []string{"w1", "w2", "w3"}
	term := uint64(0)
	for range rapid.IntRange(5, 60).Draw(t, "records") {
		w := rapid.SampledFrom(writers).Draw(t, "writer")
		key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		id, index := ident.BatchJob("t", key), rapid.Uint32Range(0, 3).Draw(t, "index")
		epoch := rapid.Uint32Range(1, 3).Draw(t, "epoch")
		vm := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "vm")
		switch rapid.IntRange(0, 8).Draw(t, "what") {
		case 0:
			term++
			log.appendBatch(w, claim(term))
		case 1:
			log.appendBatch(w, config("t", rapid.Uint64Range(0, 3).Draw(t, "base"), teamBody))
		case 2:
			log.appendBatch(w, job("t", key, 4))
		case 3, 4:
			log.appendBatch(w, grant(term, vm, id, index, epoch))
		case 5:
			o := schema.Outcome(rapid.Int32Range(1, 5).Draw(t, "outcome"))
			log.appendBatch(w, result(term, vm, id, index, epoch, o))
		case 6:
			log.appendBatch(w, &schema.Record{Cell: "main", Term: term, Body: &schema.Record_Revoke{Revoke: &schema.VMRevoke{Vm: vm}}})
		case 7:
			log.appendBatch(w, &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: id, Team: "t"}}})
		case 8:
			old := rapid.SampledFrom(log.entries).Draw(t, "old")
			log.appendEntry(old[:len(old)-rapid.IntRange(0, 1).Draw(t, "torn")])
		}
	}
	return log
}
