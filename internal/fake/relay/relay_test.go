package relay_test

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// readTimeout bounds the wait for the end of a connection.
const readTimeout = 5 * time.Second

var _ = Describe("A relay", func() {
	// Such a connection once outlived the simulated end of its target's process, which then
	// received calls that were meant for an earlier incarnation.
	It("keeps no connection that it had accepted before a reset and connected to the target after it", func() {
		r, err := relay.Listen(netip.AddrPort{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		dialing, connected := make(chan struct{}), make(chan net.Conn)
		r.SetDial(func() (net.Conn, error) {
			close(dialing)
			return <-connected, nil
		})
		in, err := net.Dial("tcp", r.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(in.Close)
		<-dialing
		end := r.Impair(relay.Impairment{Refuse: true})
		r.Reset()
		out, target := net.Pipe()
		DeferCleanup(target.Close)
		for _, c := range []net.Conn{in, target} {
			Expect(c.SetReadDeadline(time.Now().Add(readTimeout))).To(Succeed())
		}
		connected <- out
		Expect(readError(in)).NotTo(MatchError(os.ErrDeadlineExceeded))
		Expect(readError(target)).NotTo(MatchError(os.ErrDeadlineExceeded))
		end()
		Expect(r.Connections()).To(BeZero())
	})
})

// readError returns the error with which a connection ends.
func readError(c net.Conn) error {
	n, err := c.Read(make([]byte, 1))
	if err == nil && n > 0 {
		return errors.New("received a byte")
	}
	return err
}
