package intake

import "io"

// request is a request whose response is not complete.
type request struct {
	in *Intake
	// conn is nil if the server does not use ConnContext.
	conn    *conn
	hasBody bool
	// serving is set once the body is complete. It is guarded by the mutex of in.
	serving bool
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	req *request
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.req.in.complete(b.req)
	}
	return n, err
}

// complete notes that the body of a request has arrived.
func (in *Intake) complete(req *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !req.serving {
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
