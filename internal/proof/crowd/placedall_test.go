//go:build crowd

package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
)

var _ = Describe("A system on the users' platform holds", func() {
	It("against all kinds of crowds at the same time", func() {
		s, c := startPlaced(maxBody), newCrowd()
		e, body := s.entries[0], longSpec(maxBody)
		large := fmt.Sprintf(`{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"image":%q}]}`, strings.Repeat("x", 240_000))
		for i := range 400 {
			call(http.MethodPost, e.callers, host, jobPath(i), large)
		}
		c.join(tooMany, e.callers, stalled)
		c.join(tooMany, netip.AddrPortFrom(loopback(1), peerPort), silent)
		c.join(500, e.health, stalled)
		c.join(500, e.admin, stalled)
		c.join(200, e.callers, func(w io.Writer, i int) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, jobPath(i), host, announced(len(body)))), body[:len(body)-missing]...))
			return err
		})
		c.join(200, e.callers, func(w io.Writer, i int) error {
			_, err := w.Write(append([]byte(header(http.MethodPost, jobPath(i), host, chunked)), chunksOf(body[:len(body)-missing], 4<<10)...))
			return err
		})
		s.expectStands()
		c.leave()
		s.expectStands()
	})
})
