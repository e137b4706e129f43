// Package client implements a client of the entries' HTTP API for the command line and
// for trials.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// Client calls one entry.
type Client struct {
	Addr netip.AddrPort
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Answer is a complete response of an entry.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one request. An error means that no complete response was received.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, codes.Wrap(err, codes.BadRequest, "cannot create the request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, codes.Wrap(err, codes.Unreachable, "the entry does not respond")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Answer{}, codes.Wrap(err, codes.Unreachable, "the response is incomplete")
	}
	return Answer{resp.StatusCode, resp.Header, data}, nil
}

// call sends one request and decodes the response's body into v, unless v is nil. It
// returns the error that a response with an error status describes.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, v any) (http.Header, error) {
	a, err := c.Do(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if a.Status >= http.StatusBadRequest {
		return a.Header, a.Problem()
	}
	if v == nil {
		return a.Header, nil
	}
	return a.Header, json.Unmarshal(a.Body, v)
}

// Problem returns the error that a response with an error status describes.
func (a Answer) Problem() error {
	var p struct {
		view.Problem
		Faults []struct {
			File, Field, Reason string
			Line                int
		} `json:"faults"`
	}
	if err := json.Unmarshal(a.Body, &p); err != nil || p.Code == codes.OK {
		return codes.New(codes.Internal, "status %d: %s", a.Status, a.Body)
	}
	lines := []string{p.Message}
	for _, f := range p.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason))
	}
	return codes.New(p.Code, "%s (code %d)", strings.Join(lines, "\n"), p.Code)
}

func teamPath(team, rest string) string { return "/v1/teams/" + team + rest }

// Submit submits a job under an idempotency key and returns its id.
func (c *Client) Submit(ctx context.Context, team, key string, spec view.JobSpec) (string, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return "", err
	}
	var response struct {
		ID string `json:"id"`
	}
	_, err = c.call(ctx, http.MethodPost, teamPath(team, "/jobs"), http.Header{"Idempotency-Key": {key}}, body, &response)
	return response.ID, err
}

// Job returns a job with its tasks.
func (c *Client) Job(ctx context.Context, team, id string) (view.Job, error) {
	var view view.Job
	_, err := c.call(ctx, http.MethodGet, teamPath(team, "/jobs/"+id), nil, nil, &view)
	return view, err
}

// Jobs returns a team's jobs without their tasks.
func (c *Client) Jobs(ctx context.Context, team string) ([]view.Job, error) {
	var response struct {
		Jobs []view.Job `json:"jobs"`
	}
	_, err := c.call(ctx, http.MethodGet, teamPath(team, "/jobs"), nil, nil, &response)
	return response.Jobs, err
}

// Cancel cancels a job and returns its state afterwards.
func (c *Client) Cancel(ctx context.Context, team, id string) (view.Job, error) {
	var view view.Job
	_, err := c.call(ctx, http.MethodDelete, teamPath(team, "/jobs/"+id), nil, nil, &view)
	return view, err
}

// Config returns a team's configuration and its revision.
func (c *Client) Config(ctx context.Context, team string) ([]byte, uint64, error) {
	a, err := c.Do(ctx, http.MethodGet, teamPath(team, "/config"), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	if a.Status != http.StatusOK {
		return nil, 0, a.Problem()
	}
	revision, err := strconv.ParseUint(strings.Trim(a.Header.Get("ETag"), `"`), 10, 64)
	return a.Body, revision, err
}

// configHeader returns the headers of a configuration change. With them, the entry
// refuses the change unless the current revision is base.
func configHeader(base uint64, author string) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}, "Author": {author}}
}

// Publish replaces a team's configuration if the current revision is base.
func (c *Client) Publish(ctx context.Context, team string, base uint64, author string, body []byte) (view.Published, error) {
	var published view.Published
	_, err := c.call(ctx, http.MethodPut, teamPath(team, "/config"), configHeader(base, author), body, &published)
	return published, err
}

// Rollback publishes an earlier revision again if the current revision is base.
func (c *Client) Rollback(ctx context.Context, team string, base, revision uint64, author string) (view.Published, error) {
	var published view.Published
	body := fmt.Appendf(nil, `{"revision":%d}`, revision)
	_, err := c.call(ctx, http.MethodPost, teamPath(team, "/config/rollback"), configHeader(base, author), body, &published)
	return published, err
}

// Delete deletes a team's configuration if the current revision is base.
func (c *Client) Delete(ctx context.Context, team string, base uint64, author string) (view.Published, error) {
	var published view.Published
	_, err := c.call(ctx, http.MethodDelete, teamPath(team, "/config"), configHeader(base, author), nil, &published)
	return published, err
}

// History returns the configuration changes of a team that the entry still keeps, oldest
// first.
func (c *Client) History(ctx context.Context, team string) ([]view.Change, error) {
	var response struct {
		Changes []view.Change `json:"changes"`
	}
	_, err := c.call(ctx, http.MethodGet, teamPath(team, "/config/history"), nil, nil, &response)
	return response.Changes, err
}

// State returns the state dump of a process. Addr must be its administrative address.
func (c *Client) State(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	_, err := c.call(ctx, http.MethodGet, "/v1/state", nil, nil, &raw)
	return raw, err
}

// DefaultTimeout is the time limit for a command that calls a process.
const DefaultTimeout = 15 * time.Second
