package peer

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// greetTimeout bounds the wait for an entry's Welcome.
const greetTimeout = 250 * time.Millisecond

// ErrNoWelcome says that a process answered with something other than Welcome.
var ErrNoWelcome = errors.New("the process does not answer as an entry")

// Greet opens a connection to the entry at addr and returns what it said.
func Greet(ctx context.Context, addr netip.AddrPort, h msgs.Hello) (*Conn, *msgs.Welcome, error) {
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

// Survey asks entries for the leader, all at once, and returns what those said that
// answered.
func Survey(ctx context.Context, addrs []netip.AddrPort, h msgs.Hello) map[netip.AddrPort]msgs.Welcome {
	answers := map[netip.AddrPort]msgs.Welcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			conn, w, err := Greet(ctx, addr, h)
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
