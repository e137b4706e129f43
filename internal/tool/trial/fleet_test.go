package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
	"github.com/ebonyarch/ebonyarch/internal/tool/trial"
)

const (
	testTimeout = 30 * time.Second
	teamBody    = `{
  "quota": {"cpu": 30, "waitingTasks": 50},
  "services": {"s": {"replicas": 2, "cpu": 1, "memory": "1GB", "slots": 4, "bodyLimit": "1MB"}},
  "batch": {"b": {"cpu": 1, "memory": "1GB", "work": "200ms"}, "huge": {"cpu": 16, "memory": "50GB"}},
}`
)

var _ = Describe("processes over TCP", Ordered, func() {
	var f *trial.Fleet
	ctx := context.Background()

	clientOf := func(i int) *client.Client { return &client.Client{Addr: f.Entries[i].Addr()} }
	send := func(i int, header http.Header, method, body string) client.Answer {
		a, err := clientOf(i).Do(ctx, method, "/v1/teams/t/services/s/x", header, []byte(body))
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	// sendUntilOK sends a request until it succeeds. Each failure must say that the request
	// did not run, so that a caller may send it again.
	sendUntilOK := func(i int, header http.Header, method, body string) client.Answer {
		for deadline := time.Now().Add(testTimeout); ; {
			a := send(i, header, method, body)
			if a.Status == http.StatusOK {
				return a
			}
			Expect(a.Header.Get("Ebonyarch-Ran")).To(Equal("no"), string(a.Body))
			Expect(time.Now()).To(BeTemporally("<", deadline))
		}
	}
	code := func(a client.Answer) codes.Code { return codes.Of(a.Problem()) }

	BeforeAll(func() {
		var err error
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		f, err = trial.Start(trial.FleetConfig{Entries: 2, Agents: 2, CPU: 16, Memory: 60 << 10, ServiceTime: time.Millisecond}, log)
		DeferCleanup(func() { f.Stop() })
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			_, err := clientOf(0).Publish(ctx, "t", 0, "test", []byte(teamBody))
			return err
		}, testTimeout).Should(Succeed())
		for i := range f.Entries {
			Eventually(func() int { return send(i, nil, "GET", "").Status }, testTimeout).Should(Equal(200))
		}
	})

	It("returns to each caller the response to its own request", func() {
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				defer GinkgoRecover()
				body := fmt.Sprint("body ", i)
				a := sendUntilOK(i%2, http.Header{"Idempotent": {"true"}}, "POST", body)
				var got struct{ ID, Path, Sum string }
				Expect(json.Unmarshal(a.Body, &got)).To(Succeed())
				Expect(got.ID).To(Equal(a.Header.Get("Request-Id")))
			})
		}
		wg.Wait()
	})

	It("refuses bad requests with a specific code", func() {
		Expect(code(send(0, http.Header{"Request-Timeout": {"soon"}}, "GET", ""))).To(Equal(codes.BadRequest))
		Expect(code(send(0, http.Header{"Idempotent": {"maybe"}}, "GET", ""))).To(Equal(codes.BadRequest))
		Expect(code(send(0, http.Header{"Request-Id": {"mine"}}, "POST", ""))).To(Equal(codes.BadRequest))
		Expect(code(send(0, nil, "POST", strings.Repeat("x", 1<<20+1)))).To(Equal(codes.BodyTooLarge))
		a, err := clientOf(0).Do(ctx, "GET", "/v1/teams/nobody/services/s/", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(code(a)).To(Equal(codes.UnknownTeam))
		Expect(a.Header.Get("Ebonyarch-Ran")).To(Equal("no"))
	})

	It("runs a non-idempotent request only once if it is sent several times under one id", func() {
		// An entry refuses ids made just before or after it started, since it can't tell
		// whether such requests ran.
		for i := range f.Entries {
			Eventually(func() int {
				return send(i, http.Header{"Request-Id": {ulid.Make().String()}}, "POST", "").Status
			}, testTimeout).Should(Equal(200))
		}
		id := ulid.Make().String()
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				defer GinkgoRecover()
				send(i%2, http.Header{"Request-Id": {id}}, "POST", "assign")
			})
		}
		wg.Wait()
		Expect(f.Witness.Served(id)).To(Equal(1))
		again := send(1, http.Header{"Request-Id": {id}}, "POST", "assign")
		Expect(code(again)).To(Equal(codes.DuplicateID))
	})

	It("accepts a job only once under its idempotency key, and completes it", func() {
		spec := view.JobSpec{Kind: "b", Tasks: 5}
		first, err := clientOf(0).Submit(ctx, "t", "k", spec)
		Expect(err).NotTo(HaveOccurred())
		second, err := clientOf(1).Submit(ctx, "t", "k", spec)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
		spec.Tasks = 6
		_, err = clientOf(1).Submit(ctx, "t", "k", spec)
		Expect(codes.Of(err)).To(Equal(codes.KeyConflict))
		Eventually(func() int {
			v, _ := clientOf(1).Job(ctx, "t", first)
			return v.Counts["completed"]
		}, testTimeout).Should(Equal(5))
	})

	DescribeTable("refuses jobs with a specific code",
		func(team, key string, spec view.JobSpec, want codes.Code) {
			_, err := clientOf(0).Submit(ctx, team, key, spec)
			Expect(codes.Of(err)).To(Equal(want))
		},
		Entry("unknown team", "x", "1", view.JobSpec{Kind: "b", Tasks: 1}, codes.UnknownTeam),
		Entry("unknown kind", "t", "1", view.JobSpec{Kind: "x", Tasks: 1}, codes.JobInvalid),
		Entry("no tasks", "t", "1", view.JobSpec{Kind: "b"}, codes.JobInvalid),
		Entry("bad work", "t", "1", view.JobSpec{Kind: "b", Tasks: 1, Work: "-1s"}, codes.JobInvalid),
		Entry("no key", "t", "", view.JobSpec{Kind: "b", Tasks: 1}, codes.BadRequest),
		Entry("quota", "t", "2", view.JobSpec{Kind: "b", Tasks: 51}, codes.QuotaExceeded),
	)

	It("refuses a configuration with faults, with work that fits on no VM, or with a stale revision", func() {
		_, err := clientOf(0).Publish(ctx, "t", 1, "test", []byte("{\n\"quota\": 3}"))
		Expect(codes.Of(err)).To(Equal(codes.ConfigInvalid))
		Expect(err.Error()).To(ContainSubstring("t:2: quota"))
		_, err = clientOf(0).Publish(ctx, "t", 1, "test", []byte(`{"batch": {"b": {"cpu": 17}}}`))
		Expect(err).To(MatchError(ContainSubstring("fits on no VM")))
		_, err = clientOf(0).Publish(ctx, "t", 7, "test", []byte(teamBody))
		Expect(codes.Of(err)).To(Equal(codes.ConfigStale))
	})

	It("keeps the history of configurations, and publishes a rollback as a new revision", func() {
		_, err := clientOf(0).Publish(ctx, "u", 0, "ana", []byte(`{"weight": 1}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = clientOf(0).Publish(ctx, "u", 1, "eva", []byte(`{"weight": 2}`))
		Expect(err).NotTo(HaveOccurred())
		p, err := clientOf(0).Rollback(ctx, "u", 2, 1, "ana")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Revision).To(BeEquivalentTo(3))
		Eventually(func() string {
			body, _, _ := clientOf(1).Config(ctx, "u")
			return string(body)
		}, testTimeout).Should(Equal(`{"weight": 1}`))
		changes, err := clientOf(0).History(ctx, "u")
		Expect(err).NotTo(HaveOccurred())
		Expect(changes[1].Author).To(Equal("eva"))
		_, err = clientOf(0).Delete(ctx, "u", 3, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = clientOf(0).Config(ctx, "u")
		Expect(codes.Of(err)).To(Equal(codes.UnknownTeam))
	})

	It("refuses jobs while the log is down, but still serves requests", func() {
		f.Log.Set(plog.Faults{Down: true})
		defer f.Log.Set(plog.Faults{})
		Eventually(func() codes.Code {
			_, err := clientOf(0).Submit(ctx, "t", "down", view.JobSpec{Kind: "b", Tasks: 1})
			return codes.Of(err)
		}, testTimeout).Should(Equal(codes.LogDown))
		sendUntilOK(0, nil, "GET", "")
	})

	It("finishes requests in flight when an entry or an agent shuts down", func() {
		for _, v := range f.VMs {
			v.Worker.Set(worker.Faults{Stall: 300 * time.Millisecond})
		}
		Eventually(func() error { _, err := clientOf(0).Jobs(ctx, "t"); return err }, testTimeout).Should(Succeed())
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(send(1, nil, "GET", "").Status).To(Equal(200))
			})
		}
		Eventually(func() int64 { return f.Entries[1].State().(view.Entry).InFlight }, testTimeout).Should(BeEquivalentTo(6))
		stopCtx, cancel := context.WithTimeout(ctx, testTimeout)
		defer cancel()
		Expect(f.Entries[1].Shutdown(stopCtx)).To(Succeed())
		wg.Wait()
		Expect(f.VMs[0].Agent.Shutdown(stopCtx)).To(Succeed())
		sendUntilOK(0, nil, "GET", "")
	})
})
