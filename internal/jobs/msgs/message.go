package msgs

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
