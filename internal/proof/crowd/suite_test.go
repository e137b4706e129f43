//go:build crowd

package crowd_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// program is the path of the program under test.
var program string

func TestCrowd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crowd")
}

var _ = BeforeSuite(func() {
	program = filepath.Join(GinkgoT().TempDir(), "ebonyarch")
	build := exec.Command("go", "build", "-o", program, "../../../cmd/ebonyarch")
	build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
	Expect(build.Run()).To(Succeed())
})
