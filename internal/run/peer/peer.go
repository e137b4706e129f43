// Package peer carries messages between the system's processes over TCP: one kept
// connection for each pair, with messages in both directions.
//
// Requests and answers of RPC do not fit a leader that pushes orders as soon as they
// are stored; on small VMs one message for each change is also what costs least.
package peer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// queueLength bounds the messages that wait to be written; a peer that does not
	// read so many is cut off.
	queueLength = 512
	// writeTimeout bounds the writing of one message.
	writeTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 250 * time.Millisecond
	// bufferSize is the size of a connection's buffers, in bytes.
	bufferSize = 4 << 10
)

// lastID numbers the connections of this process.
var lastID atomic.Uint64

// Conn is a connection to another process. Its ID is unique in this process.
type Conn struct {
	ID    uint64
	conn  net.Conn
	dec   *codec.Decoder
	queue chan *msgs.Message
	done  chan struct{}
	once  sync.Once
}

// New returns a connection over conn and begins to write what is sent.
func New(conn net.Conn) *Conn {
	c := &Conn{
		ID: lastID.Add(1), conn: conn, dec: codec.NewDecoder(bufio.NewReaderSize(conn, bufferSize)),
		queue: make(chan *msgs.Message, queueLength), done: make(chan struct{}),
	}
	go c.write()
	return c
}

// Dial connects to the process at addr.
func Dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// Send queues a message. A peer that lets the queue fill up is cut off.
func (c *Conn) Send(m *msgs.Message) {
	select {
	case c.queue <- m:
	default:
		c.Close()
	}
}

// Receive waits for the next message, at most for timeout.
func (c *Conn) Receive(timeout time.Duration) (*msgs.Message, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	m := &msgs.Message{}
	if err := c.dec.Decode(m); err != nil {
		return nil, err
	}
	return m, nil
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.conn.RemoteAddr().String() }

// Close ends the connection. What is queued may be lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		c.conn.Close()
	})
}

func (c *Conn) write() {
	defer c.Close()
	w := bufio.NewWriterSize(c.conn, bufferSize)
	enc := codec.NewEncoder(w)
	for {
		var m *msgs.Message
		select {
		case m = <-c.queue:
		case <-c.done:
			return
		}
		if c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil || enc.Encode(m) != nil {
			return
		}
		if len(c.queue) == 0 && w.Flush() != nil {
			return
		}
	}
}
