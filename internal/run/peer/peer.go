// Package peer carries messages between entries and agents over TCP: one long-lived
// connection for each pair of processes, with messages in both directions.
//
// Request-response RPC does not suit a leader that pushes orders as soon as they are stored.
// On small VMs one message for each change also costs the least processor time.
package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

const (
	// queueLength bounds the messages of a connection that wait to be written. The
	// connection to a peer that reads too slowly and fills the queue is closed.
	queueLength = 512
	// writeTimeout bounds the writing of one message.
	writeTimeout = 2 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 250 * time.Millisecond
	// arrivedTimeout is how long a read goes on after its deadline, for what has arrived before.
	arrivedTimeout = 20 * time.Millisecond
	// bufferSize is the size of a connection's buffers, in bytes.
	bufferSize = 4 << 10
	// maxHello limits the size of the first message of a connection, maxMessage that of the others,
	// in bytes.
	maxHello, maxMessage = 64 << 10, 16 << 20
)

// errTooLarge is returned for a message that no process of this system sends.
var errTooLarge = errors.New("message is too large")

// lastID is the id of the connection created last in this process.
var lastID atomic.Uint64

// Conn is a connection to another process. Its ID is unique within this process.
type Conn struct {
	ID    uint64
	conn  net.Conn
	dec   *codec.Decoder
	in    *messageReader
	queue chan *msgs.Message
	// jobBytes is the size of the jobs in queue.
	jobBytes atomic.Int64
	done     chan struct{}
	once     sync.Once
}

// New returns a Conn over conn and starts the goroutine that writes its messages.
func New(conn net.Conn) *Conn {
	in := &messageReader{r: bufio.NewReaderSize(arrivedReader{conn}, bufferSize), limit: maxHello}
	c := &Conn{
		ID: lastID.Add(1), conn: conn, dec: codec.NewDecoder(in), in: in,
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

// Send queues a message without blocking. If the queue is full, it closes the connection.
func (c *Conn) Send(m *msgs.Message) {
	c.jobBytes.Add(jobSize(m))
	select {
	case c.queue <- m:
	default:
		c.Close()
	}
}

// QueuedJobBytes returns the size of the jobs in messages that wait to be written. They stay in
// memory when their callers have gone.
func (c *Conn) QueuedJobBytes() int64 { return c.jobBytes.Load() }

// jobSize returns the size of the job in a message, 0 if there is none.
func jobSize(m *msgs.Message) int64 {
	if m.JobRequest == nil || m.JobRequest.Spec == nil {
		return 0
	}
	return int64(m.JobRequest.Spec.MinEncodedSize())
}

// arrivedReader reads from a connection. A deadline that passes while this process is paused does
// not keep it from reading what has arrived meanwhile.
type arrivedReader struct{ conn net.Conn }

// Read implements io.Reader.
func (r arrivedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(arrivedTimeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

// messageReader limits how much is read for one message.
type messageReader struct {
	r     io.Reader
	limit int
	// read is what was read for the present message, in bytes.
	read int
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.read > r.limit {
		return 0, errTooLarge
	}
	n, err := r.r.Read(p)
	r.read += n
	return n, err
}

// next prepares for the next message.
func (r *messageReader) next() { r.read, r.limit = 0, maxMessage }

// Receive returns the next message. It fails if none arrives within timeout, or if the message
// is out of range. A message that arrived in time is returned also if this process was paused
// meanwhile.
func (c *Conn) Receive(timeout time.Duration) (*msgs.Message, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	m := &msgs.Message{}
	if err := c.dec.Decode(m); err != nil {
		return nil, err
	}
	c.in.next()
	if err := m.Check(); err != nil {
		return nil, err
	}
	return m, nil
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.conn.RemoteAddr().String() }

// Close closes the connection. Queued messages may be lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		c.conn.Close()
	})
}

// write writes queued messages until the connection is closed. It flushes whenever the queue
// is empty.
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
		c.jobBytes.Add(-jobSize(m))
		if len(c.queue) == 0 && w.Flush() != nil {
			return
		}
	}
}
