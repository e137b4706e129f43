package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// OutboundMessage is a message to send on a connection.
type OutboundMessage struct {
	Conn    uint64
	Message *msgs.Message
}

// heldMessage is a message that must wait until the changes before it are stored.
type heldMessage struct {
	OutboundMessage
	// changes covers these changes, see table.Table.Marked.
	changes uint64
}

// TakeOutbound returns the messages that may be sent, and removes them.
func (l *Leader) TakeOutbound() []OutboundMessage {
	outbound := l.outbound
	l.outbound = nil
	return outbound
}

// send sends a message without waiting for the store. It ignores nil.
func (l *Leader) send(conn uint64, m *msgs.Message) {
	if m == nil {
		return
	}
	l.outbound = append(l.outbound, OutboundMessage{conn, m})
}

// sendWhenStored sends a message once all changes made so far are stored.
func (l *Leader) sendWhenStored(conn uint64, m *msgs.Message) {
	l.heldForStore = append(l.heldForStore, heldMessage{OutboundMessage{conn, m}, l.table.Marked()})
}

// release makes a message outbound whose changes are stored. It leaves out orders to start runs
// that were given up, or became unwanted, while the message was held.
func (l *Leader) release(m OutboundMessage) {
	if o := m.Message.Orders; o != nil {
		o.Starts = slices.DeleteFunc(o.Starts, func(s msgs.Start) bool { return !l.wants(o.VM, runKey{s.Task, s.Run}) })
		if len(o.Starts)+len(o.Stops)+len(o.Throttles) == 0 {
			return
		}
		if len(o.Starts) > 0 {
			o.Follows = l.vms[o.VM].listSeq
		}
	}
	l.outbound = append(l.outbound, m)
}

// wants reports whether a run is to be present at a VM.
func (l *Leader) wants(vm string, key runKey) bool {
	v := l.vms[vm]
	if v == nil {
		return false
	}
	r := v.runs[key]
	return r != nil && !r.unwanted()
}
