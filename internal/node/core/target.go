package core

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/route"
)

// Targets returns the upstreams of each service, keyed by "team/service", as
// seen from this entry's availability zone. distance is how long a message to
// another zone takes.
func (c *Core) Targets(distance time.Duration) map[string][]route.Target {
	targets := map[string][]route.Target{}
	for _, m := range c.members.Present() {
		addr, err := netip.ParseAddrPort(m.GetAddr())
		if err != nil || m.GetLeaving() {
			continue
		}
		t := route.Target{VM: m.GetVm(), Addr: addr, Zone: m.GetZone()}
		if m.GetZone() != c.cfg.Zone {
			t.OneWayDelay = distance
		}
		for _, r := range m.GetReplicas() {
			key := r.GetTeam() + "/" + r.GetService()
			list := targets[key]
			if n := len(list); n > 0 && list[n-1].VM == t.VM {
				list[n-1].Slots += int(r.GetSlots())
				continue
			}
			t.Slots = int(r.GetSlots())
			targets[key] = append(list, t)
		}
	}
	return targets
}
