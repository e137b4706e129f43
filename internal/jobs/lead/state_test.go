package lead_test

import (
	"time"

	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// beforeLease is enough for a batch to be stored, and less than a lease.
const beforeLease = 200 * time.Millisecond

// state returns what a caller is shown of a job.
func (b *bench) state(id model.ID) string {
	b.out = nil
	b.ask(msgs.State, nil, id)
	b.out = append(b.out, b.leader.TakeOutbound()...)
	answers := b.answers()
	Expect(answers).To(HaveLen(1))
	return answers[0].State
}

// stops returns the runs that were to be stopped since the last call.
func (b *bench) stops() []msgs.Stop {
	return collect(b, func(m *msgs.Message) []msgs.Stop {
		if m.Orders == nil {
			return nil
		}
		return m.Orders.Stops
	})
}
