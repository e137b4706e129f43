package texts_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/texts"
)

func TestTexts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "texts")
}

var _ = Describe("An odd text", func() {
	It("keeps its prefix and the limit, and its JSON strings say the same", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		longest := 0
		for range 500 {
			s := texts.Odd(rng, "job 1 ")
			longest = max(longest, len(s))
			Expect(s).To(HavePrefix("job 1 "))
			Expect(utf8.ValidString(s)).To(BeTrue())
			var decoded string
			Expect(json.Unmarshal(texts.Quote(rng, s), &decoded)).To(Succeed())
			Expect(decoded).To(Equal(s))
		}
		Expect(longest).To(Equal(texts.MaxLen))
	})
})
