//go:build crowd

package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A system with the own interface holds", func() {
	DescribeTable("against many bodies that stop short of their end:", func(clients int, method, path string, size int, send func(w io.Writer, head string, body []byte) error) {
		s, c := startOwn(), newCrowd()
		body := append([]byte(`{"kind":"`), bytes.Repeat([]byte{'x'}, size-9)...)
		c.join(clients, s.callers, func(w io.Writer, _ int) error {
			return send(w, header(method, path, ownHost, "Idempotency-Key: crowd", "If-None-Match: *", "LENGTH"), body)
		})
		s.expectHoldsThroughout(c)
	},
		Entry("of calls, sent whole", 100, http.MethodPost, service, ownBody, whole),
		Entry("of calls, in pieces", 100, http.MethodPost, service, ownBody, pieces),
		Entry("of calls, in large chunks", 100, http.MethodPost, service, ownBody, largeChunks),
		Entry("of calls, in chunks of one byte", 400, http.MethodPost, service, maxBody/2, smallChunks),
		Entry("of jobs, sent whole", 380, http.MethodPost, teamPath+"/jobs", maxBody, whole),
		Entry("of configurations, sent whole", 1500, http.MethodPut, teamPath+"/config", 256<<10, whole),
		Entry("of rollbacks, sent whole", 380, http.MethodPost, teamPath+"/config/rollback", maxBody, whole),
	)

	DescribeTable("against bodies far over the limit:", func(path, line string) {
		s, c := startOwn(), newCrowd()
		body := append([]byte(`{"kind":"`), bytes.Repeat([]byte{'x'}, 24<<20)...)
		if line == chunked {
			body = chunksOf(body, 64<<10)
		}
		c.join(100, s.callers, func(w io.Writer, _ int) error {
			if _, err := io.WriteString(w, header(http.MethodPost, path, ownHost, "Idempotency-Key: crowd", line)); err != nil {
				return err
			}
			return inPieces(w, body, 64<<10)
		})
		s.expectHoldsThroughout(c)
	},
		Entry("of calls, announced", service, announced(1<<30)),
		Entry("of calls, just sent", service, chunked),
		Entry("of jobs, announced", teamPath+"/jobs", announced(1<<30)),
		Entry("of jobs, just sent", teamPath+"/jobs", chunked),
	)

	DescribeTable("against whole bodies that are large once decoded:", func(clients int, method, path string, size int, before, repeated, after string) {
		s, c := startOwn(), newCrowd()
		body := before + strings.Repeat(repeated, (size-len(before)-len(after))/len(repeated)) + after
		c.join(clients, s.callers, func(w io.Writer, _ int) error {
			_, err := io.WriteString(w, header(method, path, ownHost, "Idempotency-Key: crowd", "If-None-Match: *", announced(len(body)))+body)
			return err
		})
		s.expectHoldsThroughout(c)
	},
		Entry("configurations of empty objects", 64, http.MethodPut, "/v1/teams/crowd/config", 256<<10, `{"services":[`, `{},`, `{}]}`),
		Entry("configurations of many services", 64, http.MethodPut, "/v1/teams/crowd/config", 256<<10, `{"services":{"a":{}`, `,"a":{}`, `}}`),
		Entry("configurations with deep nesting", 64, http.MethodPut, "/v1/teams/crowd/config", 256<<10, `{"services":`, `[`, ``),
		Entry("configurations of unknown fields", 64, http.MethodPut, "/v1/teams/crowd/config", 256<<10, `{"quota":{}`, `,"a":1`, `}`),
		Entry("jobs with a large input", 64, http.MethodPost, teamPath+"/jobs", maxBody, `{"kind":"catalogue","tasks":1,"input":[`, `{},`, `{}]}`),
		Entry("jobs with unknown fields", 64, http.MethodPost, teamPath+"/jobs", maxBody, `{"kind":"catalogue"`, `,"a":1`, `}`),
		Entry("calls", 64, http.MethodPost, service, ownBody, `{"prefix":"`, `x`, `"}`),
	)

	It("a body of a call for no longer than its caller waits", func() {
		s := startOwn()
		conn, err := net.Dial("tcp", s.callers.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, header(http.MethodPost, service, ownHost, announced(1000), "Request-Timeout: 500ms")+"{")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the connection is still open")
	})

	DescribeTable("against many HTTP/2 requests on few connections whose bodies stop short of their end:", func(conns, streams, size int) {
		s := startOwn()
		leave := joinStreams(s.callers, conns, streams, bytes.Repeat([]byte{'x'}, size))
		s.expectHolds()
		leave()
		s.expectHolds()
	},
		Entry("after one byte", 20, 1000, 1),
		Entry("after much", 10, 20, ownBody-missing),
	)

	DescribeTable("against more connections than descriptors:", func(to func(s *own) netip.AddrPort, clients int, send func(w io.Writer, i int) error) {
		s, c := startOwn(), newCrowd()
		c.join(clients, to(s), send)
		s.expectHoldsThroughout(c)
	},
		Entry("of callers that send nothing", ownCallers, tooMany, silent),
		Entry("of callers that stop in the body", ownCallers, tooMany, func(w io.Writer, _ int) error {
			_, err := io.WriteString(w, header(http.MethodPost, service, ownHost, announced(1000))+"{")
			return err
		}),
		Entry("of callers whose headers don't end", ownCallers, 1000, endless),
		Entry("to the address for other processes", func(s *own) netip.AddrPort { return s.peers }, tooMany, stalled),
		Entry("to the administrative address", func(s *own) netip.AddrPort { return s.admin }, tooMany, stalled),
		Entry("to an agent's address for entries", func(s *own) netip.AddrPort { return s.agentPeers }, tooMany, stalled),
		Entry("to an agent's administrative address", func(s *own) netip.AddrPort { return s.agentAdmin }, tooMany, stalled),
	)

	It("against many jobs with inputs that are as large as one may be", func() {
		const jobs, callers = 5000, 16
		s := startOwn()
		body := `{"kind":"catalogue","tasks":1,"input":"` + strings.Repeat("x", 60_000) + `"}`
		var wg sync.WaitGroup
		for caller := range callers {
			wg.Go(func() {
				for i := caller; i < jobs && s.entry.lives(); i += callers {
					call(http.MethodPost, s.callers, ownHost, teamPath+"/jobs", body, "Idempotency-Key", fmt.Sprintf("crowd-%d", i))
				}
			})
		}
		wg.Wait()
		s.expectHolds() // the ordinary job was accepted at the start
	})

	It("a shutdown amid bodies that stop short of their end", func() {
		s, c := startOwn(), newCrowd()
		c.join(200, s.callers, func(w io.Writer, _ int) error {
			_, err := io.WriteString(w, header(http.MethodPost, service, ownHost, announced(1000))+"{")
			return err
		})
		s.entry.terminate()
		Eventually(s.entry.done, patience/2).Should(BeClosed(), "the stalled bodies hold up the drain to its end")
		Expect(s.entry.err).NotTo(HaveOccurred())
	})

	DescribeTable("against large bodies to the addresses for other processes:", func(to func(s *own) netip.AddrPort, path string) {
		s, c := startOwn(), newCrowd()
		body := bytes.Repeat([]byte{'x'}, 48<<20)
		c.join(8, to(s), func(w io.Writer, _ int) error {
			text := header(http.MethodPost, path, ownHost, announced(len(body)))
			text = strings.Replace(text, "application/json", "application/protobuf", 1)
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
			return inPieces(w, body[:len(body)-missing], 64<<10)
		})
		s.expectHoldsThroughout(c)
	},
		Entry("of an entry", func(s *own) netip.AddrPort { return s.peers }, "/twirp/ebonyarch.schema.Entry/Beat"),
		Entry("of an agent", func(s *own) netip.AddrPort { return s.agentPeers }, "/twirp/ebonyarch.schema.Agent/Forward"),
	)
})

func ownCallers(s *own) netip.AddrPort { return s.callers }

// withLength replaces the line LENGTH of a request's header.
func withLength(head, line string) string { return strings.Replace(head, "LENGTH", line, 1) }

func whole(w io.Writer, head string, body []byte) error {
	_, err := w.Write(append([]byte(withLength(head, announced(len(body)))), body[:len(body)-missing]...))
	return err
}

func pieces(w io.Writer, head string, body []byte) error {
	if _, err := io.WriteString(w, withLength(head, announced(len(body)))); err != nil {
		return err
	}
	return inPieces(w, body[:len(body)-missing], 16<<10)
}

func largeChunks(w io.Writer, head string, body []byte) error {
	_, err := w.Write(append([]byte(withLength(head, chunked)), chunksOf(body[:len(body)-missing], 4<<10)...))
	return err
}

func smallChunks(w io.Writer, head string, body []byte) error {
	_, err := w.Write(append([]byte(withLength(head, chunked)), chunksOf(body, 1)...))
	return err
}

// stallingBody is a body that stops after data until its context ends.
type stallingBody struct {
	ctx  context.Context
	data *bytes.Reader
	// sent is called once all data was read.
	sent func()
}

// Read implements io.Reader.
func (b *stallingBody) Read(p []byte) (int, error) {
	if b.data.Len() > 0 {
		return b.data.Read(p)
	}
	b.sent()
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// joinStreams sends requests over HTTP/2 whose bodies stop after data. It returns once they have
// sent the data or sendTimeout has passed, and a function that ends all of them at once.
func joinStreams(addr netip.AddrPort, conns, streams int, data []byte) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	var sent sync.WaitGroup
	sent.Add(conns * streams)
	for range conns {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		for range streams {
			var once sync.Once
			done := func() { once.Do(sent.Done) }
			body := &stallingBody{ctx, bytes.NewReader(data), done}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+service, body)
			Expect(err).NotTo(HaveOccurred())
			go func() {
				defer done()
				if resp, err := client.Do(req); err == nil {
					resp.Body.Close()
				}
			}()
		}
	}
	all := make(chan struct{})
	go func() {
		sent.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(sendTimeout):
	}
	return cancel
}
