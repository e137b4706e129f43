// Package member keeps an entry's table of the VMs that announced themselves, to
// this entry or to another one.
//
// Each announcement carries the agent's incarnation and a version that the agent
// raises with each change, so that the newest announcement is recognized whichever way
// it arrived. Other entries fetch only the changes since their previous request, so
// the cost grows with the number of changes and not with the size of the fleet.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// HeartbeatTimeout is the time without an announcement after which a VM that announced
// itself to this entry counts as gone.
const HeartbeatTimeout = 4 * time.Second

// goneRetention is how long a VM that is gone stays in the table, so that other
// entries can fetch this change.
const goneRetention = 10 * time.Minute

// Table is the set of known VMs. Its zero value is empty and ready for use.
// It is not safe for concurrent use.
type Table struct {
	// version grows by one with each change of a row.
	version uint64
	// rows holds the known VMs by name.
	rows map[string]*row
}

// row is the latest announcement of one VM.
type row struct {
	member *schema.Member
	// version is the table's version at the row's latest change.
	version uint64
	// local is set while the agent announces itself to this entry.
	local bool
	// lastContact is the time of the agent's latest announcement to this entry.
	lastContact time.Time
	// changed is the time of the row's latest change.
	changed time.Time
}

// Version returns the version of the table, which grows with each change.
func (t *Table) Version() uint64 { return t.version }

// Announce records a full announcement that an agent sent to this entry. It returns
// false if a newer one is known.
func (t *Table) Announce(now time.Time, m *schema.Member) bool {
	r := t.rows[m.GetVm()]
	if r != nil && older(m, r.member) {
		return false
	}
	if r == nil || older(r.member, m) || r.member.GetGone() {
		r = t.put(now, m)
	}
	r.local, r.lastContact = true, now
	return true
}

// Renew records a brief announcement of a member that has not changed. It returns
// false if the table does not hold the member in that version; a full announcement
// is needed then.
func (t *Table) Renew(now time.Time, m *schema.Member) bool {
	r := t.rows[m.GetVm()]
	if r == nil || r.member.GetGone() || older(r.member, m) || older(m, r.member) {
		return false
	}
	r.local, r.lastContact = true, now
	return true
}

// Merge records an announcement that another entry passed on. If both entries have the
// same version, the row is kept while the VM announces itself to this entry; otherwise
// the other entry decides whether the VM is gone.
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

// older reports whether a is an older announcement than b.
func older(a, b *schema.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() < b.GetIncarnation()
	}
	return a.GetVersion() < b.GetVersion()
}

// put stores a changed announcement under a new version of the table.
func (t *Table) put(now time.Time, m *schema.Member) *row {
	if t.rows == nil {
		t.rows = map[string]*row{}
	}
	t.version++
	r := &row{member: m, version: t.version, changed: now}
	t.rows[m.GetVm()] = r
	return r
}

// Expire marks VMs as gone that were silent for longer than HeartbeatTimeout, and
// removes those that have been gone for longer than goneRetention. It returns the
// names of the newly marked VMs.
func (t *Table) Expire(now time.Time) []string {
	var expired []string
	for vm, r := range t.rows {
		switch {
		case r.member.GetGone():
			if now.Sub(r.changed) > goneRetention {
				delete(t.rows, vm)
			}
		case r.local && now.Sub(r.lastContact) > HeartbeatTimeout:
			gone := &schema.Member{
				Vm: vm, Cell: r.member.GetCell(), Incarnation: r.member.GetIncarnation(),
				Version: r.member.GetVersion(), Gone: true,
			}
			t.put(now, gone)
			expired = append(expired, vm)
		}
	}
	slices.Sort(expired)
	return expired
}

// ChangedSince returns the VMs that changed after a version of the table, by name.
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

// Get returns a VM by its name. It finds no VM that is gone.
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
