package check_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/proof/check"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

func at(s int) time.Time { return time.Unix(1e9+int64(s), 0) }

func publish(base, revision uint64, outcome check.Outcome, from, to int) check.Publish {
	return check.Publish{Team: "t", Base: base, Revision: revision, Outcome: outcome, From: at(from), To: at(to)}
}

func call(action check.JobAction, outcome check.Outcome, from, to int) check.JobCall {
	return check.JobCall{Key: "k", Action: action, Outcome: outcome, From: at(from), To: at(to)}
}

func read(observed check.JobState, from int) check.JobCall {
	return check.JobCall{Key: "k", Action: check.Read, Observed: observed, From: at(from), To: at(from + 1)}
}

var _ = DescribeTable("histories of configuration",
	func(want bool, history ...check.Publish) {
		Expect(check.Checker{}.Config(history)).To(Equal(want))
	},
	Entry("one after the other", true, publish(0, 1, check.Done, 0, 1), publish(1, 2, check.Done, 2, 3)),
	Entry("concurrent publishes of which one succeeds", true, publish(0, 1, check.Done, 0, 5), publish(0, 0, check.Refused, 0, 5)),
	Entry("concurrent publishes that both succeed", false, publish(0, 1, check.Done, 0, 5), publish(0, 1, check.Done, 0, 5)),
	Entry("the same revision published twice", false,
		publish(0, 1, check.Done, 0, 1), publish(1, 2, check.Done, 2, 3), publish(1, 2, check.Done, 4, 5)),
	Entry("refused although the base is current", false, publish(0, 0, check.Refused, 0, 1)),
	Entry("unknown outcome, took effect", true,
		publish(0, 0, check.Unknown, 0, 1), publish(1, 2, check.Done, 2, 3)),
	Entry("reported as not run, but took effect", false,
		publish(0, 0, check.NotRun, 0, 1), publish(1, 2, check.Done, 2, 3)),
)

var _ = DescribeTable("histories of jobs",
	func(want bool, history ...check.JobCall) {
		Expect(check.Checker{}.Jobs(history)).To(Equal(want))
	},
	Entry("accepted and completed", true, call(check.Submit, check.Done, 0, 1), read(check.Completed, 2)),
	Entry("accepted, but then absent", false, call(check.Submit, check.Done, 0, 1), read(check.Absent, 2)),
	Entry("reported as not run, but present", false, call(check.Submit, check.NotRun, 0, 1), read(check.Open, 2)),
	Entry("unknown outcome, present later", true, call(check.Submit, check.Unknown, 0, 1), read(check.Open, 9)),
	Entry("completed, but then open again", false,
		call(check.Submit, check.Done, 0, 1), read(check.Completed, 2), read(check.Open, 4)),
	Entry("cancelled, but then completed", false,
		call(check.Submit, check.Done, 0, 1), read(check.Open, 2), call(check.Cancel, check.Done, 4, 5),
		read(check.Cancelled, 6), read(check.Completed, 8)),
	Entry("cancelled, but never accepted", false, call(check.Cancel, check.Done, 0, 1)),
	Entry("cancelling answered with no such job before it was accepted", true,
		call(check.Cancel, check.Refused, 0, 1), call(check.Submit, check.Done, 2, 3)),
	Entry("cancelling answered with no such job while it is being accepted", true,
		call(check.Submit, check.Done, 0, 3), call(check.Cancel, check.Refused, 1, 2)),
	Entry("cancelling answered with no such job after it was accepted", false,
		call(check.Submit, check.Done, 0, 1), call(check.Cancel, check.Refused, 2, 3)),
	Entry("cancelling answered with no such job after it was completed", false,
		call(check.Submit, check.Done, 0, 1), read(check.Completed, 2), call(check.Cancel, check.Refused, 4, 5)),
	Entry("cancelled, and its cancelling answered with no such job", false,
		call(check.Submit, check.Done, 0, 1), call(check.Cancel, check.Done, 2, 3), call(check.Cancel, check.Refused, 4, 5)),
	Entry("cancelling answered with no such job, unknown outcome of the submission", true,
		call(check.Submit, check.Unknown, 0, 1), call(check.Cancel, check.Refused, 2, 3)),
)

var _ = Describe("a correct history", func() {
	It("does not pass if that cannot be decided in time", func() {
		const publishes = 5000
		var history []check.Publish
		for n := range publishes {
			history = append(history, publish(uint64(n), uint64(n+1), check.Done, 2*n, 2*n+1))
		}
		Expect(check.Checker{}.Config(history)).To(BeTrue())
		Expect(check.Checker{Timeout: time.Nanosecond}.Config(history)).To(BeFalse())
	})
})
