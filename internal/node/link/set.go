package link

import (
	"net/netip"
	"sync"
)

// Set holds one link for each peer. Its zero value is empty and ready to use. It is
// safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	links map[netip.AddrPort]*Link
}

// To returns the link to a peer. It creates the link if there is none.
func (s *Set) To(addr netip.AddrPort) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[netip.AddrPort]*Link{}
	}
	l := s.links[addr]
	if l == nil {
		l = New(addr)
		s.links[addr] = l
	}
	return l
}

// Keep closes and removes the links to all peers for which keep returns false.
func (s *Set) Keep(keep func(netip.AddrPort) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, l := range s.links {
		if !keep(addr) {
			l.Close()
			delete(s.links, addr)
		}
	}
}

// Discarded returns the sum of Discarded over all links in the set.
func (s *Set) Discarded() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, l := range s.links {
		sum += l.Discarded()
	}
	return sum
}
