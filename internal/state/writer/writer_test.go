package writer_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var errUnavailable = errors.New("log is unavailable")

var _ = Describe("Writer", func() {
	var w *writer.Writer
	var f *fold.Fold
	var now time.Time
	var offset uint64

	record := func() *schema.Record {
		return &schema.Record{Body: &schema.Record_Alive{Alive: &schema.Alive{}}}
	}
	next := func() []byte {
		now = now.Add(10 * time.Second)
		data, ok := w.Next(now)
		Expect(ok).To(BeTrue())
		return data
	}
	readBack := func(data []byte) []writer.Result {
		offset++
		return w.Applied(f.Apply(offset, data))
	}

	BeforeEach(func() {
		w, f, now, offset = writer.New("w"), &fold.Fold{}, time.Unix(1e9, 0), 0
		w.Add(now, &schema.Record{Body: &schema.Record_Hello{Hello: &schema.Hello{}}})
		readBack(next())
		w.Appended(now, offset, nil)
	})

	It("groups records added within BatchDelay and has one batch in flight at a time", func() {
		w.Add(now, record())
		_, ok := w.Next(now.Add(writer.BatchDelay / 2))
		Expect(ok).To(BeFalse())
		w.Add(now.Add(writer.BatchDelay/2), record())
		b, err := frame.Decode(next())
		Expect(err).NotTo(HaveOccurred())
		Expect(b.GetRecords()).To(HaveLen(2))
		w.Add(now, record())
		_, ok = w.Next(now.Add(time.Hour))
		Expect(ok).To(BeFalse())
	})

	It("limits the size of a batch", func() {
		big := &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{Data: make([]byte, writer.MaxBatchSize*2/3)}}}
		w.Add(now, big)
		w.Add(now, &schema.Record{Body: big.Body})
		b, _ := frame.Decode(next())
		Expect(b.GetRecords()).To(HaveLen(1))
	})

	It("reports the log as unavailable while an append is slow or after it failed, until the batch is read back", func() {
		w.Add(now, record())
		data := next()
		Expect(w.LogUnavailable(now.Add(writer.SlowAppend + 1))).To(BeTrue())
		w.Appended(now, 0, errUnavailable)
		Expect(w.LogUnavailable(now)).To(BeTrue())
		Expect(readBack(data)).To(HaveLen(1))
		Expect(w.LogUnavailable(now)).To(BeFalse())
	})

	It("withdraws an unsent record at once", func() {
		id := w.Add(now, record())
		Expect(w.Withdraw(id)).To(BeTrue())
		Expect(w.Pending()).To(BeZero())
	})

	It("ensures that a withdrawn record never takes effect after its number is read back without it", func() {
		id := w.Add(now, record())
		first := next()
		w.Appended(now, 0, errUnavailable)
		Expect(w.Withdraw(id)).To(BeFalse())
		second := next()
		results := readBack(second)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Committed).To(BeFalse())
		Expect(readBack(first)).To(BeEmpty())
		Expect(f.Stats().Duplicates).To(BeEquivalentTo(1))
	})

	It("returns a withdrawn record as committed if an earlier append of it is read back", func() {
		id := w.Add(now, record())
		first := next()
		w.Appended(now, 0, errUnavailable)
		w.Withdraw(id)
		second := next()
		results := readBack(first)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Committed).To(BeTrue())
		Expect(readBack(second)).To(BeEmpty())
	})

	It("sends a batch again that the log acknowledged but stored as a corrupt entry", func() {
		w.Add(now, record())
		data := next()
		offset++
		f.Apply(offset, data[:len(data)-1])
		w.Appended(now, offset, nil)
		_, ok := w.Next(now.Add(time.Minute))
		Expect(ok).To(BeFalse())
		w.Read(now, f.Next())
		Expect(readBack(next())).To(HaveLen(1))
	})

	It("returns an unknown outcome if the log deleted the batch before it was read", func() {
		w.Add(now, record())
		next()
		results := w.SkipTo(2)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Unknown).To(BeTrue())
		Expect(w.Pending()).To(BeZero())
	})

	// A record that the log could never take held back all others of the process without end.
	It("withdraws a record that the log does not accept, and appends the others", func() {
		const limit = 10_000
		sizes := []int{10, 200, 20_000, 30, 9_000, 40_000, 50}
		ids := map[uint64]int{}
		for _, n := range sizes {
			ids[w.Add(now, &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{Data: make([]byte, n)}}})] = n
		}
		appends := 0
		for w.Pending() > 0 {
			appends++
			Expect(appends).To(BeNumerically("<", 30))
			data := next()
			if len(data) > limit {
				w.Appended(now, 0, port.ErrLogRejected)
				Expect(w.LogUnavailable(now)).To(BeFalse(), "it is no outage")
				continue
			}
			w.Appended(now, offset+1, nil)
			for _, r := range readBack(data) {
				Expect(r.Rejected).To(Equal(ids[r.ID] > limit))
				Expect(r.Committed).To(Equal(ids[r.ID] <= limit))
				delete(ids, r.ID)
			}
		}
		Expect(ids).To(BeEmpty())
		Expect(w.Stats().Rejected).To(BeNumerically(">", 1))
	})
})
