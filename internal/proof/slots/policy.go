package slots

// Own is the project's own way.
func Own() Policy { return Policy{Name: "own"} }

// Random picks any upstream.
func Random() Policy {
	return Policy{Name: "random", Pick: func(s *Sim, _ int) int { return s.rnd.IntN(len(s.upstreams)) }}
}

// RoundRobin picks the upstreams in turn.
func RoundRobin() Policy {
	return Policy{Name: "round robin", Pick: func(s *Sim, entry int) int {
		s.next[entry]++
		return s.next[entry] % len(s.upstreams)
	}}
}

// LeastInFlight picks the upstream on which the entry has the fewest requests.
func LeastInFlight() Policy {
	return Policy{Name: "least in flight", Pick: leastInFlight}
}

// NoAdmission is LeastInFlight with one queue for all kinds.
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
