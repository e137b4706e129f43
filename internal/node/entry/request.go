package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Headers of the API for callers.
const (
	headerTimeout    = "Request-Timeout"
	headerIdempotent = "Idempotent"
	headerID         = "Request-Id"
	headerCode       = "Ebonyarch-Code"
	headerRan        = "Ebonyarch-Ran"
	headerKey        = "Idempotency-Key"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only and
// are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// request is a caller's request that the entry handles.
type request struct {
	service *service
	msg     *schema.ForwardRequest
	// stamp is the timestamp in the caller's id. It is zero if the entry generated the
	// id, and for an idempotent request.
	stamp    time.Time
	deadline time.Time
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	started := time.Now()
	req, err := e.parseRequest(w, r)
	if err != nil {
		e.reject(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	reply, err := e.route(ctx, req)
	e.metrics.request(req, started, err)
	if err != nil {
		e.reject(w, err)
		return
	}
	for _, h := range reply.GetHeaders() {
		if !hopHeaders[h.GetName()] {
			w.Header()[h.GetName()] = h.GetValues()
		}
	}
	w.Header().Set(headerID, req.msg.Id)
	w.WriteHeader(int(reply.GetStatus()))
	_, _ = w.Write(reply.GetBody()) // an error means that the caller has disconnected
}

// parseRequest returns the request to forward, or an error with the code to answer
// with.
func (e *Entry) parseRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	if e.leaving.Load() {
		return nil, codes.WithRetryAfter(codes.New(codes.Leaving, "the entry is shutting down"), time.Second)
	}
	vars := mux.Vars(r)
	s, err := e.findService(r, vars["team"], vars["service"])
	if err != nil {
		return nil, err
	}
	if d, err := time.ParseDuration(r.Header.Get(headerTimeout)); err == nil && d > 0 {
		intake.SetDeadline(r.Context(), time.Now().Add(d))
	}
	body, err := intake.ReadAll(w, r, s.cfg.BodyBytes())
	if err != nil {
		return nil, err
	}
	// The copy of the body that is forwarded.
	if err := intake.Reserve(r.Context(), int64(len(body))); err != nil {
		return nil, err
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), "/v1/teams/"+vars["team"]+"/services/"+vars["service"])
	req := &request{service: s, msg: &schema.ForwardRequest{
		Team: s.team, Service: s.name, Method: r.Method, Path: path, Body: body, Kind: s.cfg.KindOf(path),
	}}
	if err := req.parseHeaders(r.Header); err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		if !hopHeaders[name] {
			req.msg.Headers = append(req.msg.Headers, &schema.Header{Name: name, Values: values})
		}
	}
	return req, nil
}

// findService returns a service that can be called now. That there is none is only said
// after a read barrier, by the deadline that the caller sets.
func (e *Entry) findService(r *http.Request, team, name string) (*service, error) {
	if s, err := e.lookupService(team, name); err == nil {
		return s, nil
	}
	ctx := r.Context()
	if d, err := time.ParseDuration(r.Header.Get(headerTimeout)); err == nil && d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	if err := e.readBarrier(ctx); err != nil {
		return nil, err
	}
	e.updateRoutes()
	return e.lookupService(team, name)
}

// lookupService returns a service from the routes, as far as the log has been read.
func (e *Entry) lookupService(team, name string) (*service, error) {
	routes := e.routes.Load()
	if s := routes.services[team+"/"+name]; s != nil {
		return s, nil
	}
	if routes.teams[team] {
		return nil, codes.New(codes.UnknownService, "team %q has no service %q", team, name)
	}
	return nil, codes.New(codes.UnknownTeam, "no configuration is in force for team %q", team)
}

// parseHeaders sets the deadline, the id and whether the request is idempotent
// from the headers, or to the defaults.
func (req *request) parseHeaders(h http.Header) error {
	timeout := req.service.cfg.TimeoutOf(req.msg.Kind)
	if text := h.Get(headerTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return codes.New(codes.BadRequest, "%s: want a duration such as 250ms, got %q", headerTimeout, text)
		}
		timeout = d
	}
	req.deadline = time.Now().Add(timeout)
	switch text := h.Get(headerIdempotent); text {
	case "":
		req.msg.Idempotent = req.msg.Method != http.MethodPost && req.msg.Method != http.MethodPatch
	case "true", "false":
		req.msg.Idempotent = text == "true"
	default:
		return codes.New(codes.BadRequest, "%s: want true or false, got %q", headerIdempotent, text)
	}
	return req.parseID(h.Get(headerID))
}

// parseID sets the request's id, which the entry generates if the caller sent none. The
// id of a non-idempotent request must be a ULID: its timestamp shows whether an
// upstream may have forgotten the id.
func (req *request) parseID(text string) error {
	if text == "" {
		req.msg.Id = ulid.Make().String()
		return nil
	}
	req.msg.Id = text
	if req.msg.Idempotent {
		return nil
	}
	id, err := ulid.ParseStrict(text)
	if err != nil {
		return codes.New(codes.BadRequest, "%s: the id of a non-idempotent request must be a ULID, got %q", headerID, text)
	}
	req.stamp = id.Timestamp()
	req.msg.StampMs = req.stamp.UnixMilli()
	return nil
}

// reject counts a rejected call and answers with the code that err carries.
func (e *Entry) reject(w http.ResponseWriter, err error) {
	code := codes.Of(err)
	info := code.Info()
	e.metrics.rejected.WithLabelValues(info.Name).Inc()
	writeError(w, err)
}
