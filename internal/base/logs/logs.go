// Package logs writes structured log lines without blocking the goroutines that log.
//
// Lines are queued and written by one goroutine. Lines that do not fit in the queue are
// dropped; their number is logged as soon as another line has been written.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is the number of lines that can wait to be written.
const queueLength = 2048

// Writer queues lines for another writer. Create it with NewWriter.
type Writer struct {
	// queue is never closed, since goroutines that outlive Close may still log.
	queue   chan []byte
	dropped atomic.Uint64
	// closing is closed by Close, done once the queued lines are written after that.
	closing, done chan struct{}
	once          sync.Once
}

// NewWriter returns a writer that queues lines for w.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{queue: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues one line. It never blocks and never fails.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and waits until that is done. Later lines are dropped.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.closing) })
	<-l.done
}

// run writes queued lines to w until Close is called and the queue is empty.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.queue:
			l.writeLine(w, line)
		case <-l.closing:
			l.drain(w)
			return
		}
	}
}

// drain writes the lines that are in the queue.
func (l *Writer) drain(w io.Writer) {
	for range len(l.queue) {
		l.writeLine(w, <-l.queue)
	}
}

// writeLine writes a line and, if lines were dropped before, their number.
func (l *Writer) writeLine(w io.Writer, line []byte) {
	w.Write(line)
	if n := l.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
}

// New returns a logger that writes JSON lines to w, with the rate of each message
// limited.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(NewRateLimiter(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatDuration})))
}

// formatDuration replaces durations, which slog writes to JSON in nanoseconds, by a text
// such as "1.5s".
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(time.Millisecond).String())
	}
	return a
}
