package codec_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

func TestCodec(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "codec")
}

var _ = Describe("An array", func() {
	decode := func(start any) (msgs.Orders, error) {
		data, err := codec.Marshal([]any{uint64(3), "vm-1", int64(5), []any{start}, nil, nil})
		Expect(err).NotTo(HaveOccurred())
		var o msgs.Orders
		err = codec.Unmarshal(data, &o)
		return o, err
	}
	earlier := []any{"task", uint32(2), "work", "c", "t", 80}

	It("of an earlier version, which lacks fields at the end, is decoded without them", func() {
		o, err := decode(earlier)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Starts).To(ConsistOf(msgs.Start{Task: "task", Run: 2, Payload: "work", Checkpoint: "c", Ticket: "t", Percent: 80}))
	})

	DescribeTable("that does not fit the type is refused", func(v any) {
		_, err := decode(v)
		Expect(err).To(HaveOccurred())
	},
		Entry("too many elements", append(append([]any{}, earlier...), true, []any{1, 2, 3}, 1)),
		Entry("an element of another type", []any{"task", "2"}),
		Entry("no array", "task"),
	)
})
