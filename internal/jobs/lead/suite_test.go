package lead_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lead")
}
