package story_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "story")
}
