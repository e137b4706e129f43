package worker

import (
	"context"
	"fmt"
	"hash/crc32"
	"net/http"
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// Serve implements port.Worker. The response holds the request's id and a checksum of its body.
func (w *Worker) Serve(ctx context.Context, req port.Request) (port.Response, error) {
	took, err := w.Admit(req)
	if err != nil {
		return port.Response{}, err
	}
	w.mu.Lock()
	fails := w.faults.FailAll
	w.mu.Unlock()
	if fails {
		return port.Response{Status: http.StatusInternalServerError, Body: []byte("failing")}, nil
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return port.Response{}, ctx.Err()
	}
	return Answer(req), nil
}

// Answer returns the response of a working replica to a request.
func Answer(req port.Request) port.Response {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(req.Body)), 16)
	body := fmt.Appendf(nil, "{\"id\":%q,\"path\":%q,\"sum\":%q}\n", req.ID, req.Path, sum)
	header := http.Header{"Content-Type": {"application/json"}}
	return port.Response{Status: http.StatusOK, Header: header, Body: body}
}

// hasReplica reports whether a replica of a service runs on the VM.
func (w *Worker) hasReplica(team, service string) bool {
	for _, t := range w.tasks {
		a := t.assignment
		if a.GetService() && a.GetTeam() == team && a.GetKind() == service && !t.ended {
			return true
		}
	}
	return false
}

// speed returns the speed of a service beside the batch attempts that run now, 1 for full
// speed.
func (w *Worker) speed(service string) float64 {
	if w.cfg.Speed == nil {
		return 1
	}
	var kinds []string
	for _, t := range w.tasks {
		if !t.assignment.GetService() && !t.ended && t.sharePercent > 0 {
			kinds = append(kinds, t.assignment.GetTeam()+"/"+t.assignment.GetKind())
		}
	}
	return w.cfg.Speed(service, kinds)
}

// Admit starts a request and returns how long it takes. It fails if the worker is not reachable
// or runs no replica of the service; otherwise, the witness records the request as run. Tests
// in virtual time call it instead of Serve.
func (w *Worker) Admit(req port.Request) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return 0, err
	}
	if !w.hasReplica(req.Team, req.Service) {
		return 0, fmt.Errorf("%w: no replica of %s/%s here", port.ErrNotStarted, req.Team, req.Service)
	}
	w.cfg.Witness.served(w.cfg.VM, req.ID)
	took := w.cfg.ServiceTime + w.faults.Stall
	if speed := w.speed(req.Team + "/" + req.Service); speed > 0 {
		took = time.Duration(float64(took) / speed)
	}
	return took, nil
}
