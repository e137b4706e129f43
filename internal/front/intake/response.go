package intake

import (
	"net/http"
	"time"
)

// response writes the response to a request. A client has to take it as soon as a body has to
// arrive.
type response struct {
	http.ResponseWriter
	req     *request
	timeout time.Duration
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.req.setWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setWriteDeadline sets the time until which the client must take what is written. A server that
// cannot do that is one of a test.
func (req *request) setWriteDeadline(t time.Time) { _ = req.control.SetWriteDeadline(t) }

// limitFlush limits the time to write what the server has buffered when the handler returns.
func (req *request) limitFlush(timeout time.Duration) {
	if !req.multiplexed {
		req.setWriteDeadline(time.Now().Add(timeout))
	}
}
