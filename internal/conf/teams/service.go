package teams

import (
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Service is a latency-critical service with replicas on VMs.
type Service struct {
	Replicas     uint32       `json:"replicas"`
	CPU          CPU          `json:"cpu"`
	Memory       jsonc.Memory `json:"memory"`
	Accelerators uint32       `json:"accelerators"`
	// Slots is the number of requests that one replica runs at a time; 0 means
	// DefaultSlots.
	Slots uint32 `json:"slots"`
	// LatencyTarget is the mean service time above which batch work on the same VM is
	// throttled; 0 means none.
	LatencyTarget jsonc.Duration `json:"latencyAim"`
	// Timeout applies to requests that set no timeout; 0 means DefaultTimeout.
	Timeout jsonc.Duration `json:"timeout"`
	// BodyLimit limits the body of a request; 0 means DefaultBodyLimit.
	BodyLimit jsonc.Memory `json:"bodyLimit"`
	// Kinds classify the service's requests by path prefix.
	Kinds map[string]RequestKind `json:"kinds"`
}

// RequestKind is one kind of request to a service.
type RequestKind struct {
	// Prefix is the path prefix of the requests; the longest matching one applies.
	Prefix string `json:"prefix"`
	// Share is the guaranteed share of the service's slots, in percent.
	Share uint32 `json:"share"`
	// Weight is the kind's weight in the division of slots that no guarantee
	// claims; 0 means 1.
	Weight uint32 `json:"weight"`
	// Timeout overrides the timeout of the service; 0 means no override.
	Timeout jsonc.Duration `json:"timeout"`
}

// Defaults of a service's settings.
const (
	DefaultSlots     = 8
	DefaultTimeout   = 5 * time.Second
	DefaultBodyLimit = 4         // megabytes
	DefaultKind      = "default" // requests that match no prefix
)

// Size returns the resources that one replica requires.
func (s *Service) Size() *schema.Size {
	return &schema.Size{CpuMilli: s.CPU.Milli(), MemoryMb: uint32(s.Memory), Accelerators: s.Accelerators}
}

// SlotCount returns the number of requests that one replica runs at a time.
func (s *Service) SlotCount() uint32 {
	if s.Slots == 0 {
		return DefaultSlots
	}
	return s.Slots
}

// BodyBytes returns the size limit of bodies, in bytes.
func (s *Service) BodyBytes() int64 {
	limit := int64(s.BodyLimit)
	if limit == 0 {
		limit = DefaultBodyLimit
	}
	return limit << 20
}

// KindNames returns the sorted names of the request kinds, followed by DefaultKind.
func (s *Service) KindNames() []string {
	names := make([]string, 0, len(s.Kinds)+1)
	for name := range s.Kinds {
		if name != DefaultKind {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return append(names, DefaultKind)
}

// KindOf returns the name of the request kind that a path belongs to.
func (s *Service) KindOf(path string) string {
	best, length := DefaultKind, 0
	for _, name := range s.KindNames() {
		prefix := s.Kinds[name].Prefix
		if len(prefix) > length && strings.HasPrefix(path, prefix) {
			best, length = name, len(prefix)
		}
	}
	return best
}

// TimeoutOf returns the timeout of requests of a kind that set none.
func (s *Service) TimeoutOf(kind string) time.Duration {
	return s.Kinds[kind].Timeout.Or(s.Timeout.Or(DefaultTimeout))
}

// Shares returns the guaranteed share of each kind of request, in percent.
func (s *Service) Shares() map[string]uint32 {
	shares := make(map[string]uint32, len(s.Kinds))
	for name, k := range s.Kinds {
		shares[name] = k.Share
	}
	return shares
}
