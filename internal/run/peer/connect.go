package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// welcomeTimeout bounds the wait for an entry's Welcome.
	welcomeTimeout = 250 * time.Millisecond
	// maxSurveyed limits the entries that one survey asks. Any entry knows the leader, and
	// when the leader is lost all processes ask at the same time.
	maxSurveyed = 6
)

// ErrNoWelcome is returned by Connect if the process answers with a message other than
// Welcome.
var ErrNoWelcome = errors.New("the process did not answer with a Welcome message")

// Connect dials the entry at addr, sends h and returns the connection with the entry's Welcome.
func Connect(ctx context.Context, addr netip.AddrPort, h msgs.Hello) (*Conn, *msgs.Welcome, error) {
	conn, err := Dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	conn.Send(&msgs.Message{Hello: &h})
	m, err := conn.Receive(welcomeTimeout)
	if err == nil && m.Welcome == nil {
		err = ErrNoWelcome
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, m.Welcome, nil
}

// Survey sends h to entries to find the leader, and returns the answers that arrived by
// address. If there are more than maxSurveyed entries, it asks a random choice of them.
func Survey(ctx context.Context, addrs []netip.AddrPort, h msgs.Hello) map[netip.AddrPort]msgs.Welcome {
	answers := map[netip.AddrPort]msgs.Welcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, i := range rand.Perm(len(addrs))[:min(len(addrs), maxSurveyed)] {
		addr := addrs[i]
		wg.Go(func() {
			conn, w, err := Connect(ctx, addr, h)
			if err != nil {
				return // an entry that does not answer is not in the result
			}
			conn.Close()
			mu.Lock()
			defer mu.Unlock()
			answers[addr] = *w
		})
	}
	wg.Wait()
	return answers
}

// maxAnnouncing limits the entries to which one Announce sends at the same time. Entries
// that do not answer hold up the others for longer the lower it is.
const maxAnnouncing = 16

// Announce sends h to all entries.
func Announce(ctx context.Context, addrs []netip.AddrPort, h msgs.Hello) {
	var g errgroup.Group
	g.SetLimit(maxAnnouncing)
	for _, addr := range addrs {
		g.Go(func() error {
			if conn, _, err := Connect(ctx, addr, h); err == nil {
				conn.Close() // an entry that does not answer finds the leader by itself
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}
