//go:build crowd

package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A system on the users' platform holds", func() {
	DescribeTable("against many jobs that are each as large as one may be:", func(jobs int, body string) {
		const callers = 8
		s := startPlaced(maxBody)
		var wg sync.WaitGroup
		for caller := range callers {
			e := s.entries[caller%len(s.entries)]
			wg.Go(func() {
				for i := caller; i < jobs && e.lives(); i += callers {
					call(http.MethodPost, e.callers, host, jobPath(i), body)
				}
			})
		}
		wg.Wait()
		s.expectStands()
	},
		Entry("in tasks", 400, `{"spec":"x","steps":[{"count":8000,"cpu":1000,"mem_mb":100,"estimate_ms":60000}]}`),
		Entry("in bytes", 800, fmt.Sprintf(`{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":60000,"image":%q}]}`, strings.Repeat("x", 240_000))),
		Entry("in steps", 200, fmt.Sprintf(`{"spec":"x","steps":[%s{"count":1}]}`, strings.Repeat(`{"count":30,"cpu":1000,"mem_mb":100,"estimate_ms":60000},`, 255))),
	)

	It("against jobs of very many tasks that need nothing", func() {
		s := startPlaced(maxBody)
		body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":8000}]}`, strings.Repeat("x", 4000))
		for i := range 40 {
			call(http.MethodPost, s.entries[i%2].callers, host, jobPath(i), body)
		}
		s.expectSettled()
		s.expectStands()
	})

	It("against large jobs of callers that leave at once, while the leader stands still", func() {
		s, c := startPlaced(maxBody), newCrowd()
		leader, follower := s.entries[0], s.entries[1]
		if status, text := call(http.MethodGet, follower.admin, host, "/metrics", ""); strings.Contains(text, "ebonyarch_leading 1") {
			Expect(status).To(Equal(http.StatusOK))
			leader, follower = follower, leader
		}
		body := fmt.Sprintf(`{"spec":"x","steps":[{"count":1,"image":%q}]}`, strings.Repeat("x", 240_000))
		leader.signal(syscall.SIGSTOP)
		for range 8 {
			c.join(100, follower.callers, func(w io.Writer, i int) error {
				_, err := io.WriteString(w, header(http.MethodPost, jobPath(i), host, announced(len(body)))+body)
				return err
			})
			c.leave()
		}
		leader.signal(syscall.SIGCONT)
		s.expectHolds()
	})

	It("a shutdown amid bodies that stop short of their end", func() {
		s, c := startPlaced(maxBody), newCrowd()
		e, body := s.entries[0], longSpec(1000)
		c.join(200, e.callers, func(w io.Writer, i int) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, jobPath(i), host, announced(len(body)))), body[:500]...))
			return err
		})
		last := s.beginSlowly(e)
		e.terminate()
		Expect(last()).NotTo(BeZero(), "the request in flight has no response")
		Eventually(e.done, patience).Should(BeClosed())
		Expect(e.err).NotTo(HaveOccurred())
		log, err := os.ReadFile(e.log)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(log)).NotTo(ContainSubstring("requests in flight were interrupted by the shutdown"))
		Expect(string(log)).To(ContainSubstring("entry stopped"))
	})
})

// beginSlowly sends an ordinary job without its last byte. The function that it returns sends that,
// and returns the status of the response, 0 if there is none.
func (s *placed) beginSlowly(e *placedEntry) (last func() int) {
	s.jobs++
	conn, err := net.Dial("tcp", e.callers.String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	n := len(ordinaryJob)
	_, err = io.WriteString(conn, header(http.MethodPost, fmt.Sprintf("%s%016x", prefix, s.jobs), host, announced(n))+ordinaryJob[:n-1])
	Expect(err).NotTo(HaveOccurred())
	return func() int {
		_, err := io.WriteString(conn, ordinaryJob[n-1:])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
}

// expectSettled waits until the number of runs at the agent grows no more.
func (s *placed) expectSettled() {
	GinkgoHelper()
	runs := func() string {
		_, text := call(http.MethodGet, s.agentAdmin, host, "/metrics", "")
		_, text, _ = strings.Cut(text, "\nebonyarch_runs ")
		n, _, _ := strings.Cut(text, "\n")
		return n
	}
	latest := ""
	Eventually(func() bool {
		before := latest
		latest = runs()
		return latest != "" && latest != "0" && latest == before
	}, 4*patience, "1s").Should(BeTrue())
	AddReportEntry("runs at the agent: " + latest)
}

// expectStands checks that all processes live within their machines and that the entries answer
// new requests. That an ordinary job is accepted beside as many large ones is not checked: the jobs
// that were accepted before stay.
func (s *placed) expectStands() {
	GinkgoHelper()
	for _, e := range s.entries {
		Eventually(func() int {
			status, _ := call(http.MethodPost, e.callers, host, jobPath(1<<20), ordinaryJob, "X-Deadline-Ms", "3000")
			return status
		}, patience, 100*time.Millisecond).Should(BeElementOf(http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable))
		expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, e.admin, host, "/metrics", "") })
		e.expectWithinMachine()
	}
	s.agent.expectWithinMachine()
}
