package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// oldJob returns a log in which a job was accepted and cancelled at the given time, and the
// job's path.
func oldJob(at time.Time) (*plog.Log, string) {
	log, id := &plog.Log{}, ident.BatchJob("t", "k")
	records := []*schema.Record{
		{Body: &schema.Record_Hello{Hello: &schema.Hello{Name: "w", PeerAddr: "127.0.0.1:1"}}},
		{Cell: "main", Body: &schema.Record_Claim{Claim: &schema.Claim{Term: 1}}},
		{Body: &schema.Record_Config{Config: &schema.ConfigPut{Team: "t", Body: []byte(teamConfig)}}},
		{Cell: "main", Body: &schema.Record_Job{Job: &schema.JobAccept{
			Job: id, Team: "t", Key: "k", Kind: "bulk", Tasks: 1, Size: &schema.Size{CpuMilli: 1000},
		}}},
		{Body: &schema.Record_Cancel{Cancel: &schema.JobCancel{Job: id, Team: "t"}}},
	}
	for i, r := range records {
		r.Id = uint64(i + 1)
		_, err := log.Append(context.Background(), frame.Encode(&schema.Batch{
			Writer: "w", Seq: r.Id, AtMs: at.UnixMilli(), Records: []*schema.Record{r},
		}))
		Expect(err).NotTo(HaveOccurred())
	}
	return log, teamPath + "/jobs/" + id
}

var _ = Describe("An ended job", func() {
	// The log may have forgotten it, and accepted another job with the same key.
	DescribeTable("is shown by an entry that cannot reach the log only while its key is certainly kept",
		func(age time.Duration, want codes.Code) {
			log, path := oldJob(time.Now().Add(-age))
			link := &linkLog{Log: log}
			e := startReady("e", link)
			Expect(call(e, http.MethodGet, path, "").Body).To(ContainSubstring(`"cancelled": true`))
			link.cut()
			Expect(call(e, http.MethodGet, path, "").Code).To(Equal(want))
		},
		Entry("an hour ago", time.Hour, codes.OK),
		Entry("longer ago than keys are kept", fold.JobRetention+time.Minute, codes.NotReady),
	)

	It("does not decide about a key that the log may have forgotten", func() {
		log, _ := oldJob(time.Now().Add(-fold.JobRetention - time.Minute))
		link := &linkLog{Log: log}
		e := startReady("e", link)
		link.cut()
		a := call(e, http.MethodPost, teamPath+"/jobs", bulkJob, "Idempotency-Key", "k")
		Expect(a.Code.Info().Retry).To(BeTrue(), a.Body)
	})
})
