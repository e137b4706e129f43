package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
)

var _ = Describe("An entry whose next log entry has been deleted", func() {
	// It used to load the state of the first entry in its settings again and again.
	It("does not stay with the state of an entry that lags as far behind", func() {
		log := &plog.Log{}
		link := &linkLog{Log: log}
		ahead, behind := startReady("ahead", log), startReady("behind", link)
		publish(ahead, "0", teamConfig)
		link.cut()
		for _, key := range []string{"a", "b", "c"} {
			submit(ahead, key)
		}
		log.Set(plog.Faults{Retain: 2})
		e := startEntry("late", log, behind.PeerAddr(), ahead.PeerAddr())
		Eventually(e.Ready).WithTimeout(3 * time.Second).Should(Succeed())
	})
})
