package intake

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

// request is a request whose response is not complete.
type request struct {
	in *Intake
	// conn is nil if the server does not use ConnContext.
	conn    *conn
	control *http.ResponseController
	// multiplexed is set if the connection carries other requests at the same time.
	multiplexed bool
	hasBody     bool
	// left is closed when the client has gone, or the request has ended.
	left <-chan struct{}

	// The fields below are guarded by the mutex of in.

	// arriving is the request's place in Intake.arriving, holding that in Intake.holding; they are
	// nil if it is not there.
	arriving, holding *list.Element
	// serving is set once the body is complete.
	serving bool
	// deadline is when the body must have arrived.
	deadline time.Time
	// progress is when a part of the body last arrived.
	progress time.Time
	// held is the memory that counts for the request, in bytes.
	held int64
	// stop is closed when the request is given up.
	stop stopSignal
}

// stopSignal is a channel that is made when it is waited for.
type stopSignal struct {
	closed bool
	ch     chan struct{}
}

// close closes the channel.
func (s *stopSignal) close() {
	s.closed = true
	if s.ch != nil {
		close(s.ch)
	}
}

// wait returns the channel, which must not have been closed.
func (s *stopSignal) wait() <-chan struct{} {
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

type requestKey struct{}

func withRequest(ctx context.Context, req *request) context.Context {
	return context.WithValue(ctx, requestKey{}, req)
}

// requestOf returns the request that a context belongs to, nil if it has no Intake.
func requestOf(ctx context.Context) *request {
	req, _ := ctx.Value(requestKey{}).(*request)
	return req
}

// Errors of bodies.
var (
	errDropped  = codes.New(codes.BodyDropped, "given up in favor of other requests")
	errNoMemory = codes.New(codes.BodyDropped, "no memory was free in time")
	errTimeout  = codes.New(codes.BodyDropped, "the body did not arrive in time")
	errTooLarge = codes.New(codes.BodyTooLarge, "the request takes more memory than the process allows one")
)

// SetDeadline shortens the time within which the body of a request must arrive. ctx is that of the
// request.
func SetDeadline(ctx context.Context, t time.Time) {
	if req := requestOf(ctx); req != nil && req.hasBody {
		req.limitTime(t)
	}
}

// Reserve counts n bytes for a request until its handler returns, besides those of its body. It
// may wait until other requests have released theirs. ctx is that of the request.
func Reserve(ctx context.Context, n int64) error {
	if req := requestOf(ctx); req != nil {
		return req.in.reserve(req, n)
	}
	return nil
}

// ReserveResponse is like Reserve, but for a response that takes n bytes while it is encoded. One that
// takes more than a request may is not refused: it counts as much as one may.
func ReserveResponse(ctx context.Context, n int64) error {
	if req := requestOf(ctx); req != nil {
		return req.in.reserve(req, min(n, req.in.maxHeld()))
	}
	return nil
}

// Shrink lowers what counts for a request to n bytes, if it is more. ctx is that of the request.
func Shrink(ctx context.Context, n int64) {
	if req := requestOf(ctx); req != nil {
		req.in.shrink(req, n)
	}
}

// ReadAll reads the body of a request, of at most limit bytes. Its errors carry result codes.
func ReadAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		endConnection(w, r)
		return nil, codes.New(codes.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch code := codes.Of(err); {
	case err == nil:
		return data, nil
	case errors.As(err, &tooLarge):
		endConnection(w, r)
		return nil, codes.New(codes.BodyTooLarge, "the body exceeds %d bytes", limit)
	case code == codes.BodyDropped || code == codes.BodyTooLarge:
		endConnection(w, r)
		return nil, err
	}
	return nil, codes.Wrap(err, codes.BadRequest, "cannot read the body")
}

// lingerTime is how long the server goes on reading a body that was refused. A client that sends all
// of its body first could not read the response if the connection was reset before.
const lingerTime = 500 * time.Millisecond

// endConnection ends the connection soon after the response, as the rest of the body is not wanted.
// Over HTTP/2 it would end the other requests as well, and only the stream has to end.
func endConnection(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 {
		return
	}
	w.Header().Set("Connection", "close")
	if req := requestOf(r.Context()); req != nil && req.hasBody {
		req.limitTime(time.Now().Add(lingerTime))
	}
}

// limitTime sets the time until which the body may arrive, unless it is earlier already. Only the
// goroutine of the handler may call it.
func (req *request) limitTime(t time.Time) {
	req.in.mu.Lock()
	if t.Before(req.deadline) {
		req.deadline = t
	}
	t = req.deadline
	req.in.mu.Unlock()
	req.setReadDeadline(t)
	if req.dropped() { // the deadline may have replaced the one that abort has set
		req.abort()
	}
}

// setReadDeadline sets the time until which the server reads the body. A server that cannot do that
// is one of a test.
func (req *request) setReadDeadline(t time.Time) { _ = req.control.SetReadDeadline(t) }

// dropped reports whether the request was given up.
func (req *request) dropped() bool {
	req.in.mu.Lock()
	defer req.in.mu.Unlock()
	return req.stop.closed
}

// abort ends the reading of a request that was given up.
func (req *request) abort() {
	if req.conn != nil && !req.multiplexed {
		req.conn.Conn.Close()
		return
	}
	req.setReadDeadline(time.Unix(1, 0))
}

// body is the body of a request, whose bytes count as memory of the request.
type body struct {
	io.ReadCloser
	req *request
}

// bodyFactor is the memory that counts for each byte of a body: the byte, and the spare capacity or
// the copy that reading and decoding take.
const bodyFactor = 2

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if reserveErr := b.req.in.reserve(b.req, int64(n)*bodyFactor); reserveErr != nil {
			return 0, reserveErr
		}
	}
	switch {
	case err == io.EOF:
		b.req.in.complete(b.req)
	case err != nil:
		err = b.req.in.bodyError(b.req, err)
	}
	return n, err
}

// complete notes that the body of a request has arrived. From then on the server itself ignores the
// read deadline, so that it limits no request that is carried out.
func (in *Intake) complete(req *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if req.arriving != nil {
		in.unlist(req)
		in.serve(req)
	}
}

// serve notes that a request is carried out from now on. The caller holds mu.
func (in *Intake) serve(req *request) {
	req.serving = true
	if req.conn != nil {
		in.keep(req.conn)
	}
}

// bodyError returns the error for a body that cannot be read.
func (in *Intake) bodyError(req *request, err error) error {
	switch {
	case req.dropped():
		return errDropped
	case errors.Is(err, os.ErrDeadlineExceeded):
		in.counts.add(bodyTimedOut)
		return errTimeout
	}
	return err
}
