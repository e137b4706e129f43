package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// greetTimeout bounds the wait for an entry's Welcome.
	greetTimeout = 250 * time.Millisecond
	// maxSurvey bounds the entries that one survey asks: any of them knows the leader,
	// and all processes ask at the same time when it is lost.
	maxSurvey = 6
)

// ErrNoWelcome says that a process answered with something other than Welcome.
var ErrNoWelcome = errors.New("the process does not answer as an entry")

// Connect opens a connection to the entry at addr and returns what it said.
func Connect(ctx context.Context, addr netip.AddrPort, h msgs.Hello) (*Conn, *msgs.Welcome, error) {
	conn, err := Dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	conn.Send(&msgs.Message{Hello: &h})
	m, err := conn.Receive(greetTimeout)
	if err == nil && m.Welcome == nil {
		err = ErrNoWelcome
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, m.Welcome, nil
}

// Survey asks entries for the leader, some of them if there are many, and returns what
// those said that answered.
func Survey(ctx context.Context, addrs []netip.AddrPort, h msgs.Hello) map[netip.AddrPort]msgs.Welcome {
	answers := map[netip.AddrPort]msgs.Welcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, i := range rand.Perm(len(addrs))[:min(len(addrs), maxSurvey)] {
		addr := addrs[i]
		wg.Go(func() {
			conn, w, err := Connect(ctx, addr, h)
			if err != nil {
				return // an entry that does not answer is left out
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

// Announce says hello to all entries, a few at a time.
func Announce(ctx context.Context, addrs []netip.AddrPort, h msgs.Hello) {
	for len(addrs) > 0 && ctx.Err() == nil {
		n := min(len(addrs), maxSurvey)
		Survey(ctx, addrs[:n], h)
		addrs = addrs[n:]
	}
}
