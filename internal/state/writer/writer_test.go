package writer_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/state/writer"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var errDown = errors.New("down")

var _ = Describe("the writer", func() {
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
	land := func(data []byte) []writer.Result {
		offset++
		return w.Applied(f.Apply(offset, data))
	}

	BeforeEach(func() {
		w, f, now, offset = writer.New("w"), &fold.Fold{}, time.Unix(1e9, 0), 0
		w.Add(now, &schema.Record{Body: &schema.Record_Hello{Hello: &schema.Hello{}}})
		land(next())
		w.Appended(now, offset, nil)
	})

	It("groups what comes within the window and waits for one batch at a time", func() {
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

	It("keeps to the size of a batch", func() {
		big := &schema.Record{Body: &schema.Record_Part{Part: &schema.SnapshotPart{Data: make([]byte, writer.MaxBatchSize*2/3)}}}
		w.Add(now, big)
		w.Add(now, &schema.Record{Body: big.Body})
		b, _ := frame.Decode(next())
		Expect(b.GetRecords()).To(HaveLen(1))
	})

	It("counts as down from the first failure to the next success", func() {
		w.Add(now, record())
		data := next()
		Expect(w.LogUnavailable(now.Add(writer.SlowAppend + 1))).To(BeTrue())
		w.Appended(now, 0, errDown)
		Expect(w.LogUnavailable(now)).To(BeTrue())
		Expect(land(data)).To(HaveLen(1))
		Expect(w.LogUnavailable(now)).To(BeFalse())
	})

	It("takes a record back at once before it was sent", func() {
		id := w.Add(now, record())
		Expect(w.Withdraw(id)).To(BeTrue())
		Expect(w.Pending()).To(BeZero())
	})

	It("makes certain that a withdrawn record never lands", func() {
		id := w.Add(now, record())
		first := next()
		w.Appended(now, 0, errDown)
		Expect(w.Withdraw(id)).To(BeFalse())
		second := next()
		results := land(second)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Committed).To(BeFalse())
		Expect(land(first)).To(BeEmpty())
		Expect(f.Stats().Duplicates).To(BeEquivalentTo(1))
	})

	It("learns that a withdrawn record landed after all", func() {
		id := w.Add(now, record())
		first := next()
		w.Appended(now, 0, errDown)
		w.Withdraw(id)
		second := next()
		results := land(first)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Committed).To(BeTrue())
		Expect(land(second)).To(BeEmpty())
	})

	It("sends again what the log took but cannot give back", func() {
		w.Add(now, record())
		data := next()
		offset++
		f.Apply(offset, data[:len(data)-1])
		w.Appended(now, offset, nil)
		_, ok := w.Next(now.Add(time.Minute))
		Expect(ok).To(BeFalse())
		w.Read(now, f.Next())
		Expect(land(next())).To(HaveLen(1))
	})

	It("says that a fate is unknown if the log deleted the batch unread", func() {
		w.Add(now, record())
		next()
		results := w.SkipTo(2)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Unknown).To(BeTrue())
		Expect(w.Pending()).To(BeZero())
	})
})
