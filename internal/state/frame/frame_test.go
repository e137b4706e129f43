package frame_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var _ = Describe("Decode", func() {
	It("returns the encoded batch", func() {
		b, err := frame.Decode(frame.Encode(&schema.Batch{Writer: "w", Seq: 7}))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.GetSeq()).To(BeEquivalentTo(7))
	})

	It("refuses truncated, corrupt and foreign log entries", func() {
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
			t.Fatal("Decode accepted a newer format version")
		}
	})
}
