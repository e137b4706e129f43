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

// Serve implements port.Worker: it answers with the request's id and a checksum
// of its body.
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

// Answer is the answer that a worker gives to a request.
func Answer(req port.Request) port.Response {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(req.Body)), 16)
	body := fmt.Appendf(nil, "{\"id\":%q,\"path\":%q,\"sum\":%q}\n", req.ID, req.Path, sum)
	header := http.Header{"Content-Type": {"application/json"}}
	return port.Response{Status: http.StatusOK, Header: header, Body: body}
}

func (w *Worker) serves(team, service string) bool {
	for _, t := range w.tasks {
		a := t.assignment
		if a.GetService() && a.GetTeam() == team && a.GetKind() == service && !t.ended {
			return true
		}
	}
	return false
}

func (w *Worker) speed(service string) float64 {
	if w.cfg.Slowdown == nil {
		return 1
	}
	var kinds []string
	for _, t := range w.tasks {
		if !t.assignment.GetService() && !t.ended && t.share > 0 {
			kinds = append(kinds, t.assignment.GetTeam()+"/"+t.assignment.GetKind())
		}
	}
	return w.cfg.Slowdown(service, kinds)
}

// Admit begins a request in tests that keep their own time: it fails if the VM
// is dead or runs no replica, and records the request as run otherwise. It
// returns how long the request takes.
func (w *Worker) Admit(req port.Request) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return 0, err
	}
	if !w.serves(req.Team, req.Service) {
		return 0, fmt.Errorf("%w: no replica of %s/%s here", port.ErrNotStarted, req.Team, req.Service)
	}
	w.cfg.Witness.served(w.cfg.VM, req.ID)
	took := w.cfg.ServiceTime + w.faults.Stall
	if speed := w.speed(req.Team + "/" + req.Service); speed > 0 {
		took = time.Duration(float64(took) / speed)
	}
	return took, nil
}
