package stack_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/stack"
)

func TestStack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stack")
}

var _ = Describe("A stack", func() {
	It("keeps a value until it is removed, whatever else is removed", func() {
		var s stack.Stack[int]
		sum := func() int { return s.Fold(func(x, y int) int { return x + y }) }
		Expect(sum()).To(BeZero())
		removeFirst := s.Add(1)
		removeSecond := s.Add(20)
		removeThird := s.Add(20)
		Expect(sum()).To(Equal(41))
		removeSecond()
		removeSecond()
		Expect(sum()).To(Equal(21))
		removeFirst()
		removeThird()
		Expect(sum()).To(BeZero())
	})
})
