package world_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/proof/check"
	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

var _ = Describe("a read of a job", func() {
	// An entry that had been paused used to answer from what it had read before.
	It("at an entry that wakes from a pause shows what was accepted and cancelled meanwhile", func() {
		w := newWorld(1, 2, 1)
		early := w.Entries[0].Submit("t", "early", "bulk", 2, time.Hour, ignore)
		w.Run(time.Second)
		w.Pause(w.Entries[1].Proc, 4*time.Second)
		w.Run(time.Second)
		late := w.Entries[0].Submit("t", "late", "bulk", 2, time.Hour, ignore)
		w.Entries[2].CancelJob("t", early)
		w.Run(2 * time.Second)
		first, second := w.Entries[1].ReadJob(early.Job), w.Entries[1].ReadJob(late.Job)
		w.Run(5 * time.Second)
		Expect(first.Done && second.Done).To(BeTrue())
		Expect(first.Observed).To(Equal(check.Cancelled))
		Expect(second.Observed).To(Equal(check.Open))
	})

	It("at an entry that is cut off from the log is refused, and asks to try again", func() {
		w := newWorld(1, 2, 1)
		w.CutLog(w.Entries[1].Proc, 4*time.Second)
		job := w.Entries[0].Submit("t", "k", "bulk", 2, time.Hour, ignore).Job
		w.Run(time.Second)
		read := w.Entries[1].ReadJob(job)
		w.Run(time.Second)
		Expect(read.Done).To(BeTrue())
		Expect(read.Code).To(Equal(codes.NotReady))
		Expect(read.Code.Info().Retry).To(BeTrue())
	})

	It("is linearizable at any entry, whichever entries are paused, cut off or restarted", func() {
		for seed := range uint64(20) {
			w := newWorld(seed, 3, 1)
			disturbReads(w, rand.New(rand.NewPCG(seed, 7)))
			answered := 0
			for _, read := range w.History.Reads {
				if read.Done && read.Code == codes.OK {
					answered++
				}
			}
			Expect(answered).To(BeNumerically(">", 100), "seed %d", seed)
			Expect(w.Check()).To(BeEmpty(), "seed %d", seed)
		}
	})
})

// disturbReads submits, cancels and reads jobs at random entries, of which some are
// paused, cut off from the log or restarted, and then lets all work end.
func disturbReads(w *world.World, rnd *rand.Rand) {
	anyEntry := func() *world.Entry { return w.Entries[rnd.IntN(len(w.Entries))] }
	var jobs []*world.Submission
	for step := range 600 {
		w.Run(50 * time.Millisecond)
		switch {
		case step%20 == 0:
			work := time.Duration(rnd.IntN(8)) * time.Second
			jobs = append(jobs, anyEntry().Submit("t", fmt.Sprintf("job-%d", step), "bulk", 2, work+time.Second, ignore))
		case step%30 == 10:
			anyEntry().CancelJob("t", jobs[rnd.IntN(len(jobs))])
		case step%50 == 35:
			disturbEntry(w, anyEntry(), rnd)
		default:
			recent := jobs[max(0, len(jobs)-3):]
			anyEntry().ReadJob(recent[rnd.IntN(len(recent))].Job)
		}
	}
	w.Run(time.Minute)
}

func disturbEntry(w *world.World, e *world.Entry, rnd *rand.Rand) {
	d := time.Duration(500+rnd.IntN(4000)) * time.Millisecond
	switch rnd.IntN(3) {
	case 0:
		w.Pause(e.Proc, d)
	case 1:
		w.CutLog(e.Proc, d)
	case 2:
		e.Kill()
		e.Restart()
	}
}
