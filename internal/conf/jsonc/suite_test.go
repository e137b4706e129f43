package jsonc_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJsonc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsonc")
}
