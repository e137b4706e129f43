package lead_test

import (
	"time"

	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// flushTime is long enough for a batch to be stored, and shorter than a lease.
const flushTime = 200 * time.Millisecond

// state returns the state of a job as a caller sees it.
func (h *harness) state(id model.ID) string {
	h.out = nil
	h.request(msgs.State, nil, id)
	h.out = append(h.out, h.leader.TakeOutbound()...)
	responses := h.responses()
	Expect(responses).To(HaveLen(1))
	return responses[0].State
}

// stops returns the ordered stops among the messages in out, and empties out.
func (h *harness) stops() []msgs.Stop {
	return collect(h, func(m *msgs.Message) []msgs.Stop {
		if m.Orders == nil {
			return nil
		}
		return m.Orders.Stops
	})
}
