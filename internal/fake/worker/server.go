package worker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	servePrefix = "/serve"
	idHeader    = "Request-Id"
	maxBody     = 64 << 20 // bytes
)

// Handler serves a worker over HTTP: control calls with Twirp, requests to services below
// /serve/TEAM/SERVICE/.
func Handler(w *Worker) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.PathPrefix(servePrefix + "/{team}/{service}").HandlerFunc(w.serveHTTP)
	r.PathPrefix(schema.PlatformWorkerPathPrefix).Handler(schema.NewPlatformWorkerServer(&server{w}))
	return r
}

func (w *Worker) serveHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	vars := mux.Vars(r)
	path := strings.TrimPrefix(r.URL.RequestURI(), servePrefix+"/"+vars["team"]+"/"+vars["service"])
	resp, err := w.Serve(r.Context(), port.Request{
		ID: r.Header.Get(idHeader), Team: vars["team"], Service: vars["service"],
		Method: r.Method, Path: path, Header: r.Header, Body: body,
	})
	if errors.Is(err, port.ErrNotStarted) {
		http.Error(rw, err.Error(), http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Header {
		rw.Header()[name] = values
	}
	rw.WriteHeader(resp.Status)
	_, _ = rw.Write(resp.Body)
}

type server struct {
	worker *Worker
}

// unavailable converts an error of a worker to a Twirp error.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// Start implements schema.PlatformWorker.
func (s *server) Start(ctx context.Context, req *schema.StartRequest) (*schema.StartReply, error) {
	err := s.worker.Start(ctx, req.GetAssignment(), time.Duration(req.GetLeaseMs())*time.Millisecond)
	if errors.Is(err, port.ErrRefused) {
		return &schema.StartReply{Refused: true, Reason: err.Error()}, nil
	}
	return &schema.StartReply{}, unavailable(err)
}

// Stop implements schema.PlatformWorker.
func (s *server) Stop(ctx context.Context, req *schema.StopRequest) (*schema.StopReply, error) {
	token, err := s.worker.Stop(ctx, req.GetTask(), port.StopMode(req.GetMode()))
	if errors.Is(err, port.ErrEnded) {
		return &schema.StopReply{Ended: true}, nil
	}
	return &schema.StopReply{Checkpoint: token}, unavailable(err)
}

// Throttle implements schema.PlatformWorker.
func (s *server) Throttle(ctx context.Context, req *schema.ThrottleRequest) (*schema.ThrottleReply, error) {
	return &schema.ThrottleReply{}, unavailable(s.worker.Throttle(ctx, req.GetTask(), req.GetSharePercent()))
}

// Renew implements schema.PlatformWorker.
func (s *server) Renew(ctx context.Context, req *schema.RenewRequest) (*schema.RenewReply, error) {
	return &schema.RenewReply{}, unavailable(s.worker.Renew(ctx, time.Duration(req.GetLeaseMs())*time.Millisecond))
}

// List implements schema.PlatformWorker.
func (s *server) List(ctx context.Context, _ *schema.ListRequest) (*schema.ListReply, error) {
	tasks, err := s.worker.List(ctx)
	return &schema.ListReply{Tasks: tasks}, unavailable(err)
}

// Faults implements schema.PlatformWorker.
func (s *server) Faults(_ context.Context, req *schema.WorkerFaults) (*schema.WorkerFaultsReply, error) {
	s.worker.Set(Faults{
		FailAll: req.GetFailAll(), Silent: req.GetSilent(),
		Stall: time.Duration(req.GetStallMs()) * time.Millisecond,
	})
	return &schema.WorkerFaultsReply{}, nil
}

// Witness implements schema.PlatformWorker.
func (s *server) Witness(context.Context, *schema.WitnessRequest) (*schema.WitnessReply, error) {
	reply := &schema.WitnessReply{}
	for _, run := range s.worker.cfg.Witness.Runs() {
		if run.End == Finished {
			reply.Completed = append(reply.Completed, run.Attempt.Ref())
		}
	}
	return reply, nil
}

// Client is a client of a worker that Handler serves. Create it with NewClient.
type Client struct {
	base    string
	http    *http.Client
	control schema.PlatformWorker
}

// NewClient returns a client of the worker at addr.
func NewClient(addr netip.AddrPort, client *http.Client) *Client {
	base := "http://" + addr.String()
	return &Client{base, client, schema.NewPlatformWorkerProtobufClient(base, client)}
}

// Serve implements port.Worker. It reads the whole response; an incomplete one is an error.
func (c *Client) Serve(ctx context.Context, req port.Request) (port.Response, error) {
	url := c.base + servePrefix + "/" + req.Team + "/" + req.Service + req.Path
	hr, err := http.NewRequestWithContext(ctx, req.Method, url, strings.NewReader(string(req.Body)))
	if err != nil {
		return port.Response{}, errors.Join(port.ErrNotStarted, err)
	}
	for name, values := range req.Header {
		hr.Header[name] = values
	}
	hr.Header.Set(idHeader, req.ID)
	resp, err := c.http.Do(hr)
	if err != nil {
		return port.Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return port.Response{}, err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return port.Response{}, port.ErrNotStarted
	}
	return port.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Start implements port.Worker.
func (c *Client) Start(ctx context.Context, a *schema.Assignment, lease time.Duration) error {
	reply, err := c.control.Start(ctx, &schema.StartRequest{Assignment: a, LeaseMs: lease.Milliseconds()})
	if err == nil && reply.GetRefused() {
		return errors.Join(port.ErrRefused, errors.New(reply.GetReason()))
	}
	return err
}

// Stop implements port.Worker.
func (c *Client) Stop(ctx context.Context, ref *schema.TaskRef, mode port.StopMode) ([]byte, error) {
	reply, err := c.control.Stop(ctx, &schema.StopRequest{Task: ref, Mode: uint32(mode)})
	if err == nil && reply.GetEnded() {
		return nil, port.ErrEnded
	}
	return reply.GetCheckpoint(), err
}

// Throttle implements port.Worker.
func (c *Client) Throttle(ctx context.Context, ref *schema.TaskRef, percent uint32) error {
	_, err := c.control.Throttle(ctx, &schema.ThrottleRequest{Task: ref, SharePercent: percent})
	return err
}

// Renew implements port.Worker.
func (c *Client) Renew(ctx context.Context, lease time.Duration) error {
	_, err := c.control.Renew(ctx, &schema.RenewRequest{LeaseMs: lease.Milliseconds()})
	return err
}

// List implements port.Worker.
func (c *Client) List(ctx context.Context) ([]*schema.WorkerTask, error) {
	reply, err := c.control.List(ctx, &schema.ListRequest{})
	return reply.GetTasks(), err
}
