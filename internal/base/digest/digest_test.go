package digest_test

import (
	"bytes"
	"log/slog"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/digest"
)

func TestDigest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "digest")
}

var _ = Describe("A log line", func() {
	DescribeTable("holds the size and the checksum of a text, not its content", func(text, want string) {
		var out bytes.Buffer
		slog.New(slog.NewTextHandler(&out, nil)).Info("x", "payload", digest.Text(text))
		Expect(out.String()).To(HaveSuffix("payload=" + want + "\n"))
	},
		Entry("empty", "", "0:00000000"),
		Entry("text", "hello", "5:3610a686"),
		Entry("a checksum with leading zeros", "665", "3:00081566"),
		Entry("a size in bytes", "é", "2:0e048d3e"),
	)
})
