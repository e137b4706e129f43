package proc

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
)

type check struct {
	*jsonc.Source
}

func (c check) name(field, name string) {
	switch {
	case name == "" && !c.Has(field):
		c.Add(field, "is missing")
	case !teams.ValidName(name):
		c.Add(field, "want a name of letters, digits and hyphens, got %q", name)
	}
}

// addr checks an address; listen says that port 0, for any free one, is allowed.
func (c check) addr(field string, addr netip.AddrPort, listen bool) {
	switch {
	case !c.Has(field):
		c.Add(field, "is missing; want an address such as \"127.0.0.1:8080\"")
	case !addr.IsValid():
	case addr.Port() == 0 && !listen:
		c.Add(field, "want a port other than 0")
	}
}

func (c check) within(field string, d, limit time.Duration) {
	if d < 0 || d > limit {
		c.Add(field, "want between 0s and %s", limit)
	}
}
