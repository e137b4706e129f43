package core

import (
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/front/route"
)

// Targets returns the upstreams of each service, keyed by "team/service".
// oneWayDelay is the network delay of a message from this entry's availability zone
// to another one.
func (c *Core) Targets(oneWayDelay time.Duration) map[string][]route.Target {
	targets := map[string][]route.Target{}
	for _, m := range c.members.Present() {
		addr, err := netip.ParseAddrPort(m.GetAddr())
		if err != nil || m.GetLeaving() {
			continue
		}
		t := route.Target{VM: m.GetVm(), Addr: addr, Zone: m.GetZone()}
		if m.GetZone() != c.cfg.Zone {
			t.OneWayDelay = oneWayDelay
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
