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

	// The fields below are guarded by the mutex of in.

	// element is the request's place in Intake.arriving, nil if it is not there.
	element *list.Element
	// serving is set once the body is complete.
	serving bool
	// deadline is when the body must have arrived.
	deadline time.Time
	// progress is when a part of the body last arrived.
	progress time.Time
	// abandoned is set once the request was given up.
	abandoned bool
}

type requestKey struct{}

func withRequest(ctx context.Context, req *request) context.Context {
	return context.WithValue(ctx, requestKey{}, req)
}

// requestOf returns the request that a context belongs to, nil if it has no body or no Intake.
func requestOf(ctx context.Context) *request {
	req, _ := ctx.Value(requestKey{}).(*request)
	return req
}

// Errors of bodies.
var (
	errDropped = codes.New(codes.BodyDropped, "given up in favor of other requests")
	errTimeout = codes.New(codes.BodyDropped, "the body did not arrive in time")
)

// SetDeadline shortens the time within which the body of a request must arrive. ctx is that of the
// request.
func SetDeadline(ctx context.Context, t time.Time) {
	if req := requestOf(ctx); req != nil {
		req.limitTime(t)
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
		return nil, codes.New(codes.BodyTooLarge, "the body exceeds %d bytes", limit)
	case code == codes.BodyDropped:
		endConnection(w, r)
		return nil, err
	}
	return nil, codes.Wrap(err, codes.BadRequest, "cannot read the body")
}

// endConnection ends the connection after the response, as the rest of the body is not read. Over
// HTTP/2 it would end the other requests as well, and only the stream has to end.
func endConnection(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
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
	return req.abandoned
}

// abort ends the reading of a request that was given up.
func (req *request) abort() {
	if req.conn != nil && !req.multiplexed {
		req.conn.Conn.Close()
		return
	}
	req.setReadDeadline(time.Unix(1, 0))
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	req *request
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.req.in.advance(b.req)
	}
	switch {
	case err == io.EOF:
		b.req.in.complete(b.req)
	case err != nil:
		err = b.req.in.bodyError(b.req, err)
	}
	return n, err
}

// advance notes that a part of the body of a request has arrived.
func (in *Intake) advance(req *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	req.progress = time.Now()
}

// complete notes that the body of a request has arrived.
func (in *Intake) complete(req *request) {
	in.mu.Lock()
	arrived := req.element != nil
	if arrived {
		in.arriving.Remove(req.element)
		req.element = nil
		in.serve(req)
	}
	in.mu.Unlock()
	if arrived {
		req.setReadDeadline(time.Time{})
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

// abandon gives up an incomplete request. The caller holds mu, and calls abort once it has
// released it.
func (in *Intake) abandon(req *request, why cause) {
	in.arriving.Remove(req.element)
	req.element = nil
	req.abandoned = true
	in.counts.add(why)
}
