//go:build crowd

package crowd_test

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
)

// tooMany is a number of connections beyond the descriptors of a machine.
const tooMany = 4300

// silent sends nothing.
func silent(io.Writer, int) error { return nil }

// stalled sends the headers of a job and the first byte of its body.
func stalled(w io.Writer, i int) error {
	_, err := io.WriteString(w, header(http.MethodPost, jobPath(i), host, announced(1000))+"{")
	return err
}

// endless sends headers without an end.
func endless(w io.Writer, i int) error {
	text := header(http.MethodPost, jobPath(i), host, "X-More: "+string(bytes.Repeat([]byte{'x'}, 60_000)))
	_, err := io.WriteString(w, text[:len(text)-missing])
	return err
}

var _ = Describe("A system on the users' platform holds against", func() {
	DescribeTable("more connections than descriptors:", func(to func(s *placed) netip.AddrPort, clients int, send func(w io.Writer, i int) error) {
		s, c := startPlaced(maxBody), newCrowd()
		c.join(clients, to(s), send)
		s.expectHoldsThroughout(c)
		// The agent's address takes heartbeats again: without them no job of the system runs.
		expectStatus(http.StatusOK, func() (int, string) { return call(http.MethodGet, s.agentAdmin, host, "/healthz", "") })
	},
		Entry("of callers that send nothing", callersOf, tooMany, silent),
		Entry("of callers that stop in the body", callersOf, tooMany, stalled),
		Entry("of callers whose headers don't end", callersOf, 1000, endless),
		Entry("to the address for health checks", func(s *placed) netip.AddrPort { return s.entries[0].health }, tooMany, stalled),
		Entry("to the administrative address", func(s *placed) netip.AddrPort { return s.entries[0].admin }, tooMany, stalled),
		Entry("to the address for other processes", func(*placed) netip.AddrPort { return netip.AddrPortFrom(loopback(1), peerPort) }, tooMany, silent),
		Entry("to an agent's address for heartbeats", func(s *placed) netip.AddrPort { return s.registry }, tooMany, stalled),
	)

	It("many heartbeats that stop short of their end", func() {
		s, c := startPlaced(maxBody), newCrowd()
		body := bytes.Repeat([]byte{' '}, 64<<10)
		c.join(2400, s.registry, func(w io.Writer, _ int) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, "/Instances.Heartbeat/vm-9", host, announced(len(body)))), body[:len(body)-missing]...))
			return err
		})
		s.expectHoldsThroughout(c)
	})
})

func callersOf(s *placed) netip.AddrPort { return s.entries[0].callers }
