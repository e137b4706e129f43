package codes_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

var _ = Describe("result codes", func() {
	It("stand in docs/CODES.md exactly as they are", func() {
		page, err := os.ReadFile("../../../docs/CODES.md")
		Expect(err).NotTo(HaveOccurred())
		rows := map[string]bool{}
		for line := range strings.Lines(string(page)) {
			if len(line) > 2 && line[2] >= '0' && line[2] <= '9' {
				rows[strings.TrimSpace(line)] = true
			}
		}
		for code, info := range codes.All() {
			retry := map[bool]string{true: "yes", false: "no"}[info.Retry]
			row := fmt.Sprintf("| %d | %s | %d | %s | %s | %s |", code, info.Name, info.Status, info.Ran, retry, info.Meaning)
			Expect(rows).To(HaveKey(row))
			delete(rows, row)
		}
		Expect(rows).To(BeEmpty(), "rows without a code")
	})

	It("have unique names", func() {
		seen := map[string]codes.Code{}
		for code, info := range codes.All() {
			Expect(seen).NotTo(HaveKey(info.Name))
			seen[info.Name] = code
		}
	})

	It("are carried by errors, as is the time to retry after", func() {
		err := codes.WithRetryAfter(codes.Wrap(errors.New("reset"), codes.ConnectionLost, "lost"), time.Second)
		Expect(codes.Of(err)).To(Equal(codes.ConnectionLost))
		Expect(codes.RetryAfter(err)).To(Equal(time.Second))
		Expect(err.Error()).To(ContainSubstring("reset"))
		Expect(codes.Of(nil)).To(Equal(codes.OK))
		Expect(codes.Of(errors.New("other"))).To(Equal(codes.Internal))
		Expect(codes.Wrap(nil, codes.Internal, "none")).To(Succeed())
	})
})
