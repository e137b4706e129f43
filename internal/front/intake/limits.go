package intake

import "time"

// Limits bounds what the clients of a server hold of its process. A field that is 0 stands for its
// default.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Requests is the number of requests whose responses are not complete. Over HTTP/2 a
	// connection has many.
	Requests int
	// Memory is what the bodies of all requests together, and what is decoded from them, may take,
	// in bytes. One request may take half of it.
	Memory int64
	// BodyTimeout is how long a body may take to arrive. A caller that waits for less shortens it.
	BodyTimeout time.Duration
	// KeepUsed is set if a connection on which a request was carried out is not closed for a new
	// one.
	KeepUsed bool
}

// Defaults of Limits.
const (
	DefaultConnections = 1536
	DefaultRequests    = 2048
	DefaultMemory      = 16 << 20
	DefaultBodyTimeout = time.Minute
)

// orDefaults returns the limits with defaults in place of zeros.
func (l Limits) orDefaults() Limits {
	if l.Connections == 0 {
		l.Connections = DefaultConnections
	}
	if l.Requests == 0 {
		l.Requests = DefaultRequests
	}
	if l.Memory == 0 {
		l.Memory = DefaultMemory
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = DefaultBodyTimeout
	}
	return l
}
