package frame_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var _ = Describe("a frame", func() {
	It("comes back as it was", func() {
		b, err := frame.Decode(frame.Encode(&schema.Batch{Writer: "w", Seq: 7}))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.GetSeq()).To(BeEquivalentTo(7))
	})

	It("is refused when torn, alien or newer", func() {
		whole := frame.Encode(&schema.Batch{Writer: "writer", Seq: 7})
		for n := range whole {
			_, err := frame.Decode(whole[:n])
			Expect(err).To(HaveOccurred())
		}
		flipped := append([]byte(nil), whole...)
		flipped[len(flipped)-1] ^= 1
		_, err := frame.Decode(flipped)
		Expect(err).To(MatchError(frame.ErrCorrupt))
		_, err = frame.Decode([]byte("something of another system"))
		Expect(err).To(MatchError(frame.ErrForeign))
	})
})

func FuzzDecode(f *testing.F) {
	f.Add(frame.Encode(&schema.Batch{Writer: "w", Seq: 1, Records: []*schema.Record{{Cell: "main"}}}))
	f.Add([]byte{0xEB, 0x0A, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := frame.Decode(data); err == nil && b.GetVersion() > frame.Version {
			t.Fatal("a newer version was taken")
		}
	})
}
