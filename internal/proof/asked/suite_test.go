package asked_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAsked(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "asked")
}
