package place

// Costs of putting a replica beside others of its service.
const (
	sameZone = 10
	sameRack = 100
	sameVM   = 1000
)

// Spread counts the replicas of each service by zone, rack and VM. Its zero
// value is empty and ready for use.
type Spread struct {
	counts map[spreadKey]int
}

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

func (s *Spread) cost(service string, v *VM) float64 {
	if s == nil {
		return 0
	}
	return float64(sameZone*s.counts[spreadKey{service, "zone", v.Zone}] +
		sameRack*s.counts[spreadKey{service, "rack", v.Rack}] +
		sameVM*s.counts[spreadKey{service, "vm", v.Name}])
}
