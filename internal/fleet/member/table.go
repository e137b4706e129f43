// Package member keeps what an entry knows of the VMs that announced
// themselves, to it or to another entry.
//
// Each announcement carries the agent's incarnation and a version that the
// agent raises with each change, so that the newest is known no matter by which
// way it came. Other entries take only what changed since they last asked: the
// cost follows the changes, not the size of the fleet.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// HeartbeatTimeout is the silence after which a VM that announced itself here counts as
// gone.
const HeartbeatTimeout = 4 * time.Second

// keepGone is how long a VM that is gone stays in the table, so that other
// entries learn of it.
const keepGone = 10 * time.Minute

// Table is the set of known VMs. Its zero value is empty and ready for use.
// It is not safe for concurrent use.
type Table struct {
	version uint64
	rows    map[string]*row
}

type row struct {
	member *schema.Member
	// version is the table's version at the row's latest change.
	version uint64
	// local is set while the agent announces itself to this entry.
	local   bool
	heard   time.Time
	changed time.Time
}

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

// Announce takes an announcement by an agent itself. It returns false for one
// that is older than what is known.
func (t *Table) Announce(now time.Time, m *schema.Member) bool {
	r := t.rows[m.GetVm()]
	if r != nil && older(m, r.member) {
		return false
	}
	if r == nil || older(r.member, m) || r.member.GetGone() {
		r = t.put(now, m)
	}
	r.local, r.heard = true, now
	return true
}

// Renew takes the brief announcement of a member that has not changed. It returns
// false if the table does not know the member as it is.
func (t *Table) Renew(now time.Time, m *schema.Member) bool {
	r := t.rows[m.GetVm()]
	if r == nil || r.member.GetGone() || older(r.member, m) || older(m, r.member) {
		return false
	}
	r.local, r.heard = true, now
	return true
}

// Merge takes an announcement that another entry passed on.
func (t *Table) Merge(now time.Time, m *schema.Member) {
	r := t.rows[m.GetVm()]
	switch {
	case r == nil, older(r.member, m):
		t.put(now, m)
	case older(m, r.member), r.local:
	case m.GetGone() != r.member.GetGone():
		t.put(now, m)
	}
}

func older(a, b *schema.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() < b.GetIncarnation()
	}
	return a.GetVersion() < b.GetVersion()
}

func (t *Table) put(now time.Time, m *schema.Member) *row {
	if t.rows == nil {
		t.rows = map[string]*row{}
	}
	t.version++
	r := &row{member: m, version: t.version, changed: now}
	t.rows[m.GetVm()] = r
	return r
}

// Expire marks VMs that fell silent as gone and forgets those long gone. It
// returns the names of those newly marked.
func (t *Table) Expire(now time.Time) []string {
	var lapsed []string
	for vm, r := range t.rows {
		switch {
		case r.member.GetGone():
			if now.Sub(r.changed) > keepGone {
				delete(t.rows, vm)
			}
		case r.local && now.Sub(r.heard) > HeartbeatTimeout:
			gone := &schema.Member{
				Vm: vm, Cell: r.member.GetCell(), Incarnation: r.member.GetIncarnation(),
				Version: r.member.GetVersion(), Gone: true,
			}
			t.put(now, gone)
			lapsed = append(lapsed, vm)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// ChangedSince returns the VMs that changed after a version, by name.
func (t *Table) ChangedSince(version uint64) []*schema.Member {
	var changed []*schema.Member
	for _, r := range t.rows {
		if r.version > version {
			changed = append(changed, r.member)
		}
	}
	sortMembers(changed)
	return changed
}

// Present returns the VMs that are not gone, by name.
func (t *Table) Present() []*schema.Member {
	var present []*schema.Member
	for _, r := range t.rows {
		if !r.member.GetGone() {
			present = append(present, r.member)
		}
	}
	sortMembers(present)
	return present
}

// Get returns a VM that is not gone.
func (t *Table) Get(vm string) (*schema.Member, bool) {
	r := t.rows[vm]
	if r == nil || r.member.GetGone() {
		return nil, false
	}
	return r.member, true
}

func sortMembers(ms []*schema.Member) {
	slices.SortFunc(ms, func(a, b *schema.Member) int { return strings.Compare(a.GetVm(), b.GetVm()) })
}
