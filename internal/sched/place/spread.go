package place

// Costs of placing a replica for each other replica of its service in the same
// zone, rack or VM.
const (
	sameZoneCost = 10
	sameRackCost = 100
	sameVMCost   = 1000
)

// Spread counts the replicas of each service by zone, rack and VM. Its zero
// value is empty and ready to use.
type Spread struct {
	counts map[spreadKey]int
}

// spreadKey identifies a counter: the replicas of a service in the zone, in the
// rack or on the VM of the given name.
type spreadKey struct {
	service, level, name string
}

// Add counts a replica of a service on a VM.
func (s *Spread) Add(service string, v *VM) {
	if s.counts == nil {
		s.counts = map[spreadKey]int{}
	}
	s.counts[spreadKey{service, "zone", v.Zone}]++
	s.counts[spreadKey{service, "rack", v.Rack}]++
	s.counts[spreadKey{service, "vm", v.Name}]++
}

// Move counts a replica of a service on another VM than before.
func (s *Spread) Move(service string, from, to *VM) {
	s.counts[spreadKey{service, "zone", from.Zone}]--
	s.counts[spreadKey{service, "rack", from.Rack}]--
	s.counts[spreadKey{service, "vm", from.Name}]--
	s.Add(service, to)
}

// OnVM returns the number of replicas of a service on a VM.
func (s *Spread) OnVM(service string, v *VM) int { return s.counts[spreadKey{service, "vm", v.Name}] }

// cost returns the cost of placing one more replica of a service on a VM.
func (s *Spread) cost(service string, v *VM) float64 {
	if s == nil {
		return 0
	}
	return float64(sameZoneCost*s.counts[spreadKey{service, "zone", v.Zone}] +
		sameRackCost*s.counts[spreadKey{service, "rack", v.Rack}] +
		sameVMCost*s.counts[spreadKey{service, "vm", v.Name}])
}
