package intake_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
)

// patience is how long specs wait for what has to happen.
const patience = 30 * time.Second

// server is a server with an Intake, whose handler reads the body of each request.
type server struct {
	*intake.Intake
	server *http.Server
	addr   string
	// arrived gets a value when the handler has read a body, which then waits for one from
	// release if hold is set.
	arrived, release chan struct{}
	hold             bool
	// reserve is what each request counts besides its body, response what its response counts, in
	// bytes.
	reserve, response int64
}

func startServer(limits intake.Limits) *server {
	s := &server{Intake: &intake.Intake{Limits: limits}, arrived: make(chan struct{}, 100), release: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.addr = ln.Addr().String()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{Handler: s.Handler(s), ConnContext: s.ConnContext, Protocols: protocols}
	go func() { _ = s.server.Serve(s.Listen(ln)) }() // it ends with the spec
	DeferCleanup(s.server.Close)
	return s
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d, err := time.ParseDuration(r.Header.Get("Timeout")); err == nil {
		intake.SetDeadline(r.Context(), time.Now().Add(d))
	}
	if s.response > 0 && intake.ReserveResponse(r.Context(), s.response) != nil {
		return
	}
	data, err := intake.ReadAll(w, r, 1<<20)
	if err == nil {
		s.arrived <- struct{}{}
		if s.hold && !s.awaitRelease(r.Context()) {
			err = codes.New(codes.TimedOut, "the request was cancelled")
		}
	}
	if err == nil {
		err = intake.Reserve(r.Context(), s.reserve)
	}
	if err != nil {
		w.WriteHeader(codes.Of(err).Info().Status)
		return
	}
	fmt.Fprint(w, len(data))
}

// awaitRelease waits for release, and reports false if the request is cancelled before.
func (s *server) awaitRelease(ctx context.Context) bool {
	select {
	case <-s.release:
		return true
	case <-ctx.Done():
		return false
	}
}

// dial opens a connection and sends text.
func (s *server) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// request returns a request with a body that is announced with a size.
func request(size int, body string, headers ...string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", size, strings.Join(headers, ""), body)
}

// post sends an ordinary request on a new connection and returns the status of the response, 0 if
// there is none.
func (s *server) post(body string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Post("http://"+s.addr, "text/plain", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// dropped returns how many clients were turned away for a cause.
func (s *server) dropped(cause string) int {
	registry := prometheus.NewRegistry()
	s.Register(registry, "callers")
	metrics, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range metrics {
		for _, m := range family.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetValue() == cause {
					return int(m.GetCounter().GetValue())
				}
			}
		}
	}
	Fail("no cause " + cause)
	return 0
}

// expectClosed checks that the server closes a connection, possibly after a response.
func expectClosed(conn net.Conn) string {
	GinkgoHelper()
	Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
	data, err := io.ReadAll(conn)
	if netErr, ok := err.(net.Error); ok {
		Expect(netErr.Timeout()).To(BeFalse(), "the connection is still open")
	}
	return string(data)
}

var _ = Describe("An intake", func() {
	It("closes the connection without progress for longest for a new one beyond the limit", func() {
		s := startServer(intake.Limits{Connections: 2})
		first := s.dial("")
		Eventually(s.Connections).Should(Equal(1))
		s.dial("")
		Eventually(s.Connections).Should(Equal(2))
		Expect(s.post("x")).To(Equal(http.StatusOK))
		expectClosed(first)
		Expect(s.dropped("connectionDropped")).To(Equal(1))
		Expect(s.PeakConnections()).To(Equal(2))
	})

	It("refuses a new connection if requests are carried out on all", func() {
		s := startServer(intake.Limits{Connections: 1})
		s.hold = true
		conn := s.dial(request(1, "x"))
		Eventually(s.arrived).Should(Receive())
		expectClosed(s.dial(""))
		Expect(s.dropped("connectionRefused")).To(Equal(1))
		close(s.release)
		Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		Expect(io.ReadAll(io.LimitReader(conn, 15))).To(BeEquivalentTo("HTTP/1.1 200 OK"))
	})

	It("counts the memory of bodies as they arrive, and gives up the stalest for others", func() {
		s := startServer(intake.Limits{Memory: 8000})
		first := s.dial(request(3000, strings.Repeat("x", 1900)))
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_memory_bytes") }).Should(BeEquivalentTo(3800))
		second := s.dial(request(3000, strings.Repeat("x", 1900)))
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_memory_bytes") }).Should(BeEquivalentTo(7600))
		Expect(s.post(strings.Repeat("x", 1000))).To(Equal(http.StatusOK))
		expectClosed(first)
		Expect(s.dropped("bodyDropped")).To(Equal(1))
		_, err := io.WriteString(second, strings.Repeat("x", 100))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_memory_bytes") }).Should(BeEquivalentTo(4000))
	})

	It("counts nothing for bodies that are only announced", func() {
		s := startServer(intake.Limits{Memory: 8000})
		for range 20 {
			s.dial(request(3000, ""))
		}
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_requests") }).Should(BeEquivalentTo(20))
		Expect(s.gauge("ebonyarch_intake_memory_bytes")).To(BeZero())
		Expect(s.post(strings.Repeat("x", 1500))).To(Equal(http.StatusOK))
		Expect(s.dropped("bodyDropped")).To(BeZero())
	})

	It("refuses a body that takes more memory than one may, or more than the handler allows", func() {
		s := startServer(intake.Limits{Memory: 8000})
		Expect(s.post(strings.Repeat("x", 3000))).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(s.dropped("bodyTooLarge")).To(Equal(1))
		Expect(expectClosed(s.dial(request(2<<20, "x")))).To(HavePrefix("HTTP/1.1 413 "))
		s = startServer(intake.Limits{})
		size := 1<<20 + 1
		conn := s.dial("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", size) + strings.Repeat("x", size))
		Expect(expectClosed(conn)).To(HavePrefix("HTTP/1.1 413 "))
	})

	It("lets a body arrive until its deadline", func() {
		s := startServer(intake.Limits{})
		Expect(expectClosed(s.dial(request(100, "x", "Timeout: 10ms\r\n")))).To(HavePrefix("HTTP/1.1 408 "))
		Expect(s.dropped("bodyTimedOut")).To(Equal(1))
		Expect(expectClosed(startServer(intake.Limits{BodyTimeout: 10 * time.Millisecond}).dial(request(100, "x")))).To(HavePrefix("HTTP/1.1 408 "))
	})

	It("gives up requests that wait for memory for others", func() {
		s := startServer(intake.Limits{Memory: 8000})
		s.reserve = 1500
		s.hold = true
		for range 4 { // they hold all memory, and each wants more
			s.dial(request(1000, strings.Repeat("x", 1000)))
		}
		for range 4 {
			Eventually(s.arrived).Should(Receive())
		}
		close(s.release)
		Eventually(func() int { return s.dropped("bodyDropped") }).Should(BeNumerically(">=", 1))
		Expect(s.post("x")).To(Equal(http.StatusOK))
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_memory_bytes") }).Should(BeZero())
	})

	It("gives up no request that holds no memory for that of others", func() {
		s := startServer(intake.Limits{Memory: 8000})
		for range 20 {
			s.dial(request(3000, ""))
		}
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_requests") }).Should(BeEquivalentTo(20))
		for range 4 {
			s.dial(request(3000, strings.Repeat("x", 1000)))
		}
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_memory_bytes") }).Should(BeEquivalentTo(8000))
		Expect(s.post(strings.Repeat("x", 500))).To(Equal(http.StatusOK))
		Expect(s.dropped("bodyDropped")).To(Equal(1))
	})

	It("lets responses wait for each other that together take more than all may", func() {
		s := startServer(intake.Limits{Memory: 8000})
		s.response = 100_000
		s.hold = true
		for range 3 {
			s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		Eventually(s.arrived).Should(Receive())
		Eventually(s.arrived).Should(Receive())
		Eventually(func() float64 { return s.gauge("ebonyarch_intake_requests") }).Should(BeEquivalentTo(3))
		Consistently(s.arrived, "50ms").ShouldNot(Receive())
		Expect(s.gauge("ebonyarch_intake_memory_bytes")).To(BeEquivalentTo(8000))
		close(s.release)
		Eventually(s.arrived).Should(Receive())
		Expect(s.dropped("bodyDropped")).To(BeZero())
	})

	It("does not limit the time of a request once its body has arrived", func() {
		s := startServer(intake.Limits{BodyTimeout: 20 * time.Millisecond})
		s.hold = true
		conn := s.dial(request(1, "x"))
		Eventually(s.arrived).Should(Receive())
		passed := time.NewTimer(60 * time.Millisecond)
		defer passed.Stop()
		<-passed.C
		close(s.release)
		Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		Expect(io.ReadAll(io.LimitReader(conn, 15))).To(BeEquivalentTo("HTTP/1.1 200 OK"))
	})

	It("gives up the oldest incomplete request for a new one beyond the limit, also over HTTP/2", func() {
		s := startServer(intake.Limits{Requests: 2})
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 2 {
			r, w := io.Pipe()
			go func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr, r)
				if err != nil {
					return
				}
				if resp, err := client.Do(req); err == nil {
					resp.Body.Close()
				}
			}()
			_, err := w.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() float64 { return s.gauge("ebonyarch_intake_requests") }).Should(BeEquivalentTo(i + 1))
		}
		resp, err := client.Post("http://"+s.addr, "text/plain", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(s.dropped("requestDropped")).To(Equal(1))
	})

	It("gives up what stalls during a shutdown, and waits for requests that are carried out", func() {
		s := startServer(intake.Limits{})
		s.hold = true
		served := s.dial(request(1, "x"))
		Eventually(s.arrived).Should(Receive())
		stalled, silent := s.dial(request(100, "x")), s.dial("")
		Eventually(s.Connections).Should(Equal(3))
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		ended := make(chan error)
		go func() { ended <- s.server.Shutdown(ctx) }()
		go s.Drain(ctx)
		expectClosed(stalled)
		expectClosed(silent)
		Consistently(ended, "100ms").ShouldNot(Receive())
		close(s.release)
		Eventually(ended, patience).Should(Receive(BeNil()))
		Expect(expectClosed(served)).To(HavePrefix("HTTP/1.1 200 "))
	})
})

// gauge returns the value of a metric without a cause.
func (s *server) gauge(name string) float64 {
	registry := prometheus.NewRegistry()
	s.Register(registry, "callers")
	metrics, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range metrics {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	Fail("no metric " + name)
	return 0
}
