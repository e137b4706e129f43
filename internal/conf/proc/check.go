package proc

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
)

// checker validates decoded settings and records faults in their document.
type checker struct {
	*jsonc.Document
}

func (c checker) name(field, name string) {
	switch {
	case name == "" && !c.Has(field):
		c.Add(field, "is missing")
	case !teams.ValidName(name):
		c.Add(field, "want a name of letters, digits and hyphens, got %q", name)
	}
}

// addr checks an address. If listen is set, port 0 is allowed and stands for any free
// port.
func (c checker) addr(field string, addr netip.AddrPort, listen bool) {
	switch {
	case !c.Has(field):
		c.Add(field, "is missing; want an address such as \"127.0.0.1:8080\"")
	case !addr.IsValid() && !c.Faulty(field): // the decoder accepts an empty address
		c.Add(field, "is empty; want an address such as \"127.0.0.1:8080\"")
	case !addr.IsValid():
	case addr.Port() == 0 && !listen:
		c.Add(field, "want a port other than 0")
	}
}

// advertise checks the address that is announced to other processes. They can't
// connect to an unspecified address such as 0.0.0.0, which is valid only for
// listening.
func (c checker) advertise(addr, listen netip.AddrPort) {
	switch {
	case c.Has("advertise") && addr.IsValid() && (addr.Port() == 0 || addr.Addr().IsUnspecified()):
		c.Add("advertise", "want an address that others can connect to, got %s", addr)
	case !c.Has("advertise") && listen.IsValid() && listen.Addr().IsUnspecified():
		c.Add("advertise", "is missing; peers listens on all addresses, so others must be told one")
	}
}

// duration checks that d is between 0 and limit.
func (c checker) duration(field string, d, limit time.Duration) {
	if d < 0 || d > limit {
		c.Add(field, "want between 0s and %s", limit)
	}
}

// bytes checks a size that may be missing.
func (c checker) bytes(field string, n int) {
	if n < 0 {
		c.Add(field, "is negative; want a size in bytes")
	}
}
