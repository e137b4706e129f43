package port

import (
	"context"
	"net/http"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Response is an upstream's complete response to one request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Request is one request to an upstream.
type Request struct {
	ID      string
	Team    string
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// Worker is the platform's executor on one VM.
type Worker interface {
	// Serve runs a request on a service replica of the VM. An error that wraps
	// ErrNotStarted means that the request did not run.
	Serve(ctx context.Context, req Request) (Response, error)
	// Start starts an attempt with a lease: the worker stops the attempt when the lease
	// expires before it is extended by Renew.
	Start(ctx context.Context, a *schema.Assignment, lease time.Duration) error
	// Stop stops an attempt. An attempt that has not started never will. With mode
	// Checkpoint it returns a token from which any worker can resume.
	Stop(ctx context.Context, ref *schema.TaskRef, mode StopMode) ([]byte, error)
	// Throttle sets the speed limit of an attempt, in percent of full speed.
	Throttle(ctx context.Context, ref *schema.TaskRef, percent uint32) error
	// Renew extends the lease of all attempts.
	Renew(ctx context.Context, lease time.Duration) error
	// List returns all attempts that run, or have ended without being stopped.
	List(ctx context.Context) ([]*schema.WorkerTask, error)
}
