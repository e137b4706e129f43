package port

import (
	"context"
	"net/http"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Response is an upstream's whole answer to one request.
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
	// ErrNotStarted says that the request did not run.
	Serve(ctx context.Context, req Request) (Response, error)
	// Start runs an attempt under a lease: the worker stops it when the lease
	// ends without Renew.
	Start(ctx context.Context, a *schema.Assignment, lease time.Duration) error
	// Stop ends an attempt, also one that has not started and then never will.
	// With Checkpoint it returns a token from which any worker resumes.
	Stop(ctx context.Context, ref *schema.TaskRef, mode StopMode) ([]byte, error)
	// Throttle limits an attempt to a share of its speed, in percent.
	Throttle(ctx context.Context, ref *schema.TaskRef, percent uint32) error
	// Renew extends the lease of every attempt.
	Renew(ctx context.Context, lease time.Duration) error
	// List returns every attempt that runs or has ended and was not yet stopped.
	List(ctx context.Context) ([]*schema.WorkerTask, error)
}
