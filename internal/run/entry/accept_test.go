package entry_test

import (
	"log/slog"
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
)

// exhausted is a listener of a process that has no descriptors for a while.
type exhausted struct {
	net.Listener
	failures int
	// accepts gets a value with each call of Accept after the failures.
	accepts chan struct{}
}

// Accept implements net.Listener.
func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	l.accepts <- struct{}{}
	return l.Listener.Accept()
}

// An entry that had no descriptors once did not listen for other processes any more.
var _ = Describe("An entry that has no descriptors for a while", func() {
	It("accepts connections of other processes again", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := &exhausted{Listener: ln, failures: 3, accepts: make(chan struct{}, 10)}
		e := entry.New(proc.JobEntry{Name: "e"}, nil, nil, slog.New(slog.DiscardHandler))
		ended := make(chan error, 1)
		go func() { ended <- e.Serve(l) }()
		Eventually(l.accepts, "10s").Should(Receive())
		Expect(ended).NotTo(Receive())
		ln.Close()
		Eventually(ended, "10s").Should(Receive(MatchError(net.ErrClosed)))
	})
})
