package fleet

import (
	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/proof/check"
)

// history holds the callers' requests. The outcome of one without a response is unknown.
type history []check.JobCall

// addCall adds a request that is sent now and returns its index.
func (c *Callers) addCall(req *msgs.JobRequest) int {
	call := check.JobCall{Key: string(req.Job), Outcome: check.Unknown, From: c.world.Now, To: c.world.Now}
	if req.Verb == msgs.Cancel {
		call.Action = check.Cancel
	}
	c.history = append(c.history, call)
	return len(c.history) - 1
}

// noteResponse records the response to the request with an index.
func (c *Callers) noteResponse(i int, resp msgs.JobResponse) {
	call := &c.history[i]
	call.To = c.world.Now
	switch {
	case resp.Code == codes.OK:
		call.Outcome = check.Done
	case resp.Code == codes.JobNotFound:
		call.Outcome = check.Refused
	case resp.Code.Info().Ran == codes.RanNo && call.Action == check.Submit:
		call.Outcome = check.NotRun
	}
}

// checkHistory checks that there is an order of the requests that explains all responses.
func (c *Callers) checkHistory() {
	if !(check.Checker{}).Jobs(c.history) {
		c.addFault("no order of the requests explains their responses")
	}
}
