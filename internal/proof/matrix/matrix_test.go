package matrix_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/matrix"
)

const seed = 1

var _ = Describe("the fault matrix", func() {
	It("holds without faults", func() {
		Expect(matrix.Run(seed, nil).Faults).To(BeEmpty())
	})

	It("is deterministic", func() {
		var first, second strings.Builder
		matrix.Run(seed, &first)
		matrix.Run(seed, &second)
		Expect(first.String()).To(Equal(second.String()))
	})

	It("holds for every fault at every step", func() {
		cells := matrix.Cells(seed)
		matrix.RunCells(cells)
		matrix.Print(GinkgoWriter, cells)
		GinkgoWriter.Printf("%+v\n", matrix.Summarize(cells))
		for _, c := range cells {
			Expect(c.Faults).To(BeEmpty(), c.String())
		}
	})

	It("holds for pairs of faults", func() {
		cells := matrix.Pairs(seed, 120)
		matrix.RunCells(cells)
		GinkgoWriter.Printf("%+v\n", matrix.Summarize(cells))
		for _, c := range cells {
			Expect(c.Faults).To(BeEmpty(), c.String())
		}
	})
})
