package codes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCodes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "codes")
}
