package msgs

import (
	"errors"
	"fmt"
)

// MaxEpoch is the highest epoch that a process accepts from others. Fencing tokens, which hold
// epochs beside other bits, and the epochs after it stay far below the largest uint64.
const MaxEpoch = 1 << 32

// ErrOutOfRange is returned by Check for a message that no process of this system sends.
var ErrOutOfRange = errors.New("message is out of range")

// Message is the unit of transmission on a connection. Any combination of its fields
// may be set.
type Message struct {
	Hello        *Hello        `cbor:"1,keyasint,omitempty"`
	Welcome      *Welcome      `cbor:"2,keyasint,omitempty"`
	LeaseRequest *LeaseRequest `cbor:"3,keyasint,omitempty"`
	Lease        *Lease        `cbor:"4,keyasint,omitempty"`
	Orders       *Orders       `cbor:"5,keyasint,omitempty"`
	Report       *Report       `cbor:"6,keyasint,omitempty"`
	JobRequest   *JobRequest   `cbor:"7,keyasint,omitempty"`
	JobResponse  *JobResponse  `cbor:"8,keyasint,omitempty"`
	Ping         *Ping         `cbor:"9,keyasint,omitempty"`
	EndsStored   *EndsStored   `cbor:"10,keyasint,omitempty"`
	// Unproven and Crashes accompany a LeaseRequest.
	Unproven      *Unproven      `cbor:"11,keyasint,omitempty"`
	Crashes       []Crash        `cbor:"12,keyasint,omitempty"`
	CrashesStored *CrashesStored `cbor:"13,keyasint,omitempty"`
}

// Check returns an error if the message has an epoch that is out of range. Whoever believed it
// would follow no real leader any more.
func (m *Message) Check() error {
	epoch := uint64(0)
	if m.Hello != nil {
		epoch = max(epoch, m.Hello.Epoch)
	}
	if m.Welcome != nil {
		epoch = max(epoch, m.Welcome.Epoch)
	}
	if m.Orders != nil {
		epoch = max(epoch, m.Orders.Epoch)
	}
	if m.Ping != nil {
		epoch = max(epoch, m.Ping.Epoch)
	}
	if epoch > MaxEpoch {
		return fmt.Errorf("%w: epoch %d", ErrOutOfRange, epoch)
	}
	return nil
}
