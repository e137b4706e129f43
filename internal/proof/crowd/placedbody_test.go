//go:build crowd

package crowd_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// missing is how many bytes short of their end bodies stop, in bytes.
const missing = 6

// longSpec is the beginning of a job whose payload goes on up to size bytes.
func longSpec(size int) []byte {
	return append([]byte(`{"spec":"`), bytes.Repeat([]byte{'x'}, size-9)...)
}

var _ = Describe("An entry on the users' platform holds", func() {
	DescribeTable("against many bodies that stop short of their end:", func(clients, size int, send func(w io.Writer, path string, body []byte) error) {
		s, c := startPlaced(maxBody), newCrowd()
		body := longSpec(size)
		c.join(clients, s.entries[0].callers, func(w io.Writer, i int) error { return send(w, jobPath(i), body) })
		s.expectHoldsThroughout(c)
	},
		Entry("announced and sent whole", 380, maxBody, func(w io.Writer, path string, body []byte) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, path, host, announced(len(body)))), body[:len(body)-missing]...))
			return err
		}),
		Entry("announced and sent in pieces", 380, maxBody, func(w io.Writer, path string, body []byte) error {
			if _, err := io.WriteString(w, header(http.MethodPost, path, host, announced(len(body)))); err != nil {
				return err
			}
			return inPieces(w, body[:len(body)-missing], 16<<10)
		}),
		Entry("in large chunks", 380, maxBody, func(w io.Writer, path string, body []byte) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, path, host, chunked)), chunksOf(body[:len(body)-missing], 4<<10)...))
			return err
		}),
		Entry("in chunks of one byte", 400, maxBody/2, func(w io.Writer, path string, body []byte) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, path, host, chunked)), chunksOf(body, 1)...))
			return err
		}),
	)

	DescribeTable("against bodies far over the limit:", func(bodyLimit, clients int, lines string) {
		const size = 24 << 20
		s, c := startPlaced(bodyLimit), newCrowd()
		body := longSpec(size)
		if lines == chunked {
			body = chunksOf(body, 64<<10)
		}
		c.join(clients, s.entries[0].callers, func(w io.Writer, i int) error {
			if _, err := io.WriteString(w, header(http.MethodPost, jobPath(i), host, lines)); err != nil {
				return err
			}
			return inPieces(w, body, 64<<10)
		})
		s.expectHoldsThroughout(c)
	},
		Entry("announced", maxBody, 100, announced(1<<30)),
		Entry("just sent", maxBody, 100, chunked),
		Entry("announced, and the operator's limit is higher than a machine's memory", 1<<30, 24, announced(1<<30)),
		Entry("just sent, and the operator's limit is higher than a machine's memory", 1<<30, 24, chunked),
	)

	It("a body for no longer than its caller waits", func() {
		s := startPlaced(maxBody)
		conn, err := net.Dial("tcp", s.entries[0].callers.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		body := longSpec(1000)
		_, err = io.WriteString(conn, header(http.MethodPost, jobPath(1), host, announced(len(body)), "X-Deadline-Ms: 500")+string(body[:500]))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		response, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the connection is still open")
		Expect(string(response)).NotTo(ContainSubstring(" 503 "), "the job may have been accepted before")
		Expect(string(response)).NotTo(ContainSubstring(" 429 "), "the job may have been accepted before")
	})

	It("a slow caller's body in calm until it is complete", func() {
		s := startPlaced(maxBody)
		r, w := io.Pipe()
		go func() {
			defer w.Close()
			slow := time.NewTicker(20 * time.Millisecond)
			defer slow.Stop()
			for _, b := range []byte(ordinaryJob) {
				<-slow.C
				if _, err := w.Write([]byte{b}); err != nil {
					return
				}
			}
		}()
		req, err := http.NewRequest(http.MethodPost, "http://"+s.entries[0].callers.String()+jobPath(1), r)
		Expect(err).NotTo(HaveOccurred())
		req.Host = host
		req.Header.Set("X-Deadline-Ms", "30000")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	DescribeTable("against a few bodies of legal size that are large once decoded:", func(before, repeated, after string) {
		s, c := startPlaced(maxBody), newCrowd()
		body := before + strings.Repeat(repeated, (maxBody-len(before)-len(after))/len(repeated)) + after
		c.join(8, s.entries[0].callers, func(w io.Writer, i int) error {
			_, err := io.WriteString(w, header(http.MethodPost, jobPath(i), host, announced(len(body)))+body)
			return err
		})
		s.expectHoldsThroughout(c)
	},
		Entry("empty steps", `{"spec":"x","steps":[`, `{},`, `{}]}`),
		Entry("steps that are null", `{"spec":"x","steps":[`, `null,`, `{}]}`),
		Entry("steps that are numbers", `{"spec":"x","steps":[`, `1,`, `{}]}`),
		Entry("steps of one task", `{"spec":"x","steps":[`, `{"count":1},`, `{"count":1}]}`),
		Entry("steps under an escaped name", `{"spec":"x","\u0073teps":[`, `{},`, `{}]}`),
		Entry("steps under a name in another case", `{"spec":"x","STEPS":[`, `{},`, `{}]}`),
		Entry("steps that come again and again", `{"spec":"x"`, `,"steps":[{},{},{},{},{},{},{},{}]`, `}`),
		Entry("a step after many others", `{"spec":"x","steps":[{"count":1,"after":[`, `0,`, `0]}]}`),
		Entry("a step after much that is no number", `{"spec":"x","steps":[{"count":1,"after":[`, `[],`, `0]}]}`),
		Entry("labels", `{"spec":"x","steps":[{"count":1,"requires":"`, `\u00e9`, `"}]}`),
		Entry("fields that nobody knows", `{"spec":"x","steps":[{"count":1}]`, `,"a":{}`, `}`),
		Entry("a field that nobody knows, with many values", `{"spec":"x","more":[`, `{},`, `{}],"steps":[{"count":1}]}`),
		Entry("deep nesting", `{"spec":"x","more":`, `[`, ``),
	)
})
