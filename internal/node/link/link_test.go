package link_test

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/fake/relay"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// pinger answers pings and nothing else.
type pinger struct {
	schema.Agent
}

func (pinger) Ping(context.Context, *schema.PingRequest) (*schema.PingReply, error) {
	return &schema.PingReply{Vm: "vm"}, nil
}

func serve(limit int) *link.Server {
	s, err := link.Listen(loopback, schema.NewAgentServer(pinger{}), &intake.Intake{Limits: intake.Limits{Connections: limit, KeepUsed: true}})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve() }()
	DeferCleanup(s.Close)
	return s
}

func ping(l *link.Link, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := l.Agent().Ping(ctx, &schema.PingRequest{})
	return err
}

// relayedLink returns a link through a relay, with one open connection.
func relayedLink() (*link.Link, *relay.Relay) {
	r, err := relay.Listen(serve(0).Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	l := link.New(r.Addr())
	Expect(ping(l, 5*time.Second)).To(Succeed())
	return l, r
}

var _ = Describe("a link", func() {
	It("carries many calls on one connection", func() {
		s := serve(0)
		l := link.New(s.Addr())
		for range 50 {
			Expect(ping(l, 5*time.Second)).To(Succeed())
		}
		Expect(s.PeakConnections()).To(BeEquivalentTo(1))
	})

	It("never reuses a connection on which a call timed out", func() {
		l, r := relayedLink()
		Expect(r.Blackhole()).To(Equal(1))
		Expect(ping(l, 50*time.Millisecond)).NotTo(Succeed())
		Expect(ping(l, 5*time.Second)).To(Succeed())
		Expect(l.Discarded()).To(Equal(1))
		Expect(r.Connections()).To(Equal(2))
	})

	It("detects a silent connection before the deadline of a call on it", func() {
		l, r := relayedLink()
		r.Blackhole()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := l.Agent().Ping(ctx, &schema.PingRequest{})
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred(), "the ping of the idle connection should end the call before its deadline")
		Expect(ping(l, 5*time.Second)).To(Succeed())
	})

	It("opens a new connection for a call that replaces a failed one", func() {
		l, r := relayedLink()
		l.DiscardIfStale()
		Expect(ping(l, 5*time.Second)).To(Succeed())
		Expect(r.Connections()).To(Equal(1), "the connection has answered within the last second")
		r.Blackhole()
		Eventually(func() int {
			l.DiscardIfStale()
			return l.Discarded()
		}, 5*time.Second).Should(Equal(1))
		Expect(ping(l, 5*time.Second)).To(Succeed())
	})

	It("is refused when the server has reached its limit of connections", func() {
		s := serve(1)
		Expect(ping(link.New(s.Addr()), 5*time.Second)).To(Succeed())
		Expect(ping(link.New(s.Addr()), 5*time.Second)).NotTo(Succeed())
		Expect(s.RefusedConnections()).To(BeNumerically(">=", 1))
	})

	It("is replaced by a new one after its set removed it", func() {
		var set link.Set
		s := serve(0)
		first := set.To(s.Addr())
		Expect(set.To(s.Addr())).To(BeIdenticalTo(first))
		set.Keep(func(netip.AddrPort) bool { return false })
		Expect(set.To(s.Addr())).NotTo(BeIdenticalTo(first))
	})

	It("connects to a server that also accepts HTTP/1 from callers", func() {
		s := serve(0)
		resp, err := http.Post("http://"+s.Addr().String()+"/nothing", "text/plain", nil)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})
})
