package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/fleet"
)

const (
	// restartSeeds is the number of seeds of each fault beside copies of starts.
	restartSeeds = 8
	// window bounds the time from the start of a worker to the first poll that reaches it, while
	// its agent runs. Only until then may the worker carry out an order to its earlier process.
	window = 15 * time.Millisecond
)

var _ = Describe("Workers that start again under their ids", func() {
	for _, f := range fleet.Restarts {
		It("run no task again by a late copy of a start that was repeated, once a poll has reached them, while "+f.Name, func() {
			copies := 0
			for i := range restartSeeds {
				t := 600*time.Millisecond + time.Duration(i)*133*time.Millisecond
				w := run(uint64(i+1), at(t, f.Fault))
				Expect(w.Check()).To(BeEmpty(), fmt.Sprintf("seed %d, at %s", i+1, t))
				if f.AgentsRun {
					Expect(w.Late.Windows).To(HaveEach(BeNumerically("<=", window)))
				}
				copies += w.Late.ToNext
			}
			Expect(copies).To(BeNumerically(">", 10*restartSeeds), "copies that reached a later process")
		})
	}
})
