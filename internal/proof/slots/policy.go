package slots

// Production is the routing and admission that entries and agents use in production.
func Production() Policy { return Policy{Name: "own"} }

// Random picks an upstream at random.
func Random() Policy {
	return Policy{Name: "random", Pick: func(s *Sim, _ int) int { return s.rnd.IntN(len(s.upstreams)) }}
}

// RoundRobin makes each entry pick the upstreams in turn.
func RoundRobin() Policy {
	return Policy{Name: "round robin", Pick: func(s *Sim, entry int) int {
		s.nextUpstream[entry]++
		return s.nextUpstream[entry] % len(s.upstreams)
	}}
}

// LeastInFlight picks the upstream to which the entry has the fewest requests in
// flight.
func LeastInFlight() Policy {
	return Policy{Name: "least in flight", Pick: leastInFlight}
}

// NoAdmission is LeastInFlight with one unbounded FIFO queue for all kinds at each
// upstream.
func NoAdmission() Policy {
	return Policy{Name: "no admission", Pick: leastInFlight, NoAdmission: true}
}

func leastInFlight(s *Sim, entry int) int {
	start := s.rnd.IntN(len(s.upstreams))
	best := start
	for i := range s.upstreams {
		u := (start + i) % len(s.upstreams)
		if s.upstreams[u].inFlight[entry] < s.upstreams[best].inFlight[entry] {
			best = u
		}
	}
	return best
}
