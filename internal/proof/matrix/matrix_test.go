package matrix_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/matrix"
)

const seed = 1

var _ = Describe("the fault matrix", func() {
	It("finds no violation without faults", func() {
		Expect(matrix.Run(seed, nil).Faults).To(BeEmpty())
	})

	It("writes the same log lines in each run with the same seed", func() {
		var first, second strings.Builder
		matrix.Run(seed, &first)
		matrix.Run(seed, &second)
		Expect(first.String()).To(Equal(second.String()))
	})

	It("finds no violation with any fault at any step", func() {
		cells := matrix.Cells(seed)
		matrix.RunCells(cells)
		matrix.Print(GinkgoWriter, cells)
		GinkgoWriter.Printf("%+v\n", matrix.Summarize(cells))
		for _, c := range cells {
			Expect(c.Faults).To(BeEmpty(), c.String())
		}
	})

	It("finds no violation with pairs of faults", func() {
		cells := matrix.Pairs(seed, 120)
		matrix.RunCells(cells)
		GinkgoWriter.Printf("%+v\n", matrix.Summarize(cells))
		for _, c := range cells {
			Expect(c.Faults).To(BeEmpty(), c.String())
		}
	})
})
