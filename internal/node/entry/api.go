package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// listen opens the addresses for callers, for agents and other entries, and for
// administration. If one fails, it closes the others.
func (e *Entry) listen(registry *prometheus.Registry) error {
	var err error
	callers := &intake.Intake{Limits: e.cfg.Limits.Callers(), Refuse: http.HandlerFunc(e.refuse)}
	peers, adminIntake := &intake.Intake{Limits: e.cfg.Limits.Peers()}, &intake.Intake{Limits: e.cfg.Limits.Admin()}
	callers.Register(registry, "callers")
	peers.Register(registry, "peers")
	adminIntake.Register(registry, "admin")
	if e.callers, err = link.Listen(e.cfg.Callers, e.router(), callers); err != nil {
		return err
	}
	if e.peers, err = link.Listen(e.cfg.Peers, schema.NewEntryServer(e), peers); err != nil {
		e.callers.Close()
		return err
	}
	if e.admin, err = link.Listen(e.cfg.Admin, admin.Handler(e, registry), adminIntake); err != nil {
		e.callers.Close()
		e.peers.Close()
	}
	return err
}

// router returns the handler of the API for callers and operators, which
// docs/API.md describes.
func (e *Entry) router() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.PathPrefix("/v1/teams/{team}/services/{service}").HandlerFunc(e.handleRequest)
	r.HandleFunc("/v1/teams", e.listTeams).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams/{team}/jobs", e.submitJob).Methods(http.MethodPost)
	r.HandleFunc("/v1/teams/{team}/jobs", e.listJobs).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams/{team}/jobs/{job}", e.getJob).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams/{team}/jobs/{job}", e.cancelJob).Methods(http.MethodDelete)
	r.HandleFunc("/v1/teams/{team}/config", e.getConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams/{team}/config", e.putConfig).Methods(http.MethodPut)
	r.HandleFunc("/v1/teams/{team}/config", e.deleteConfig).Methods(http.MethodDelete)
	r.HandleFunc("/v1/teams/{team}/config/history", e.configHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams/{team}/config/rollback", e.rollbackConfig).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, codes.New(codes.BadRequest, "no such resource: %s", r.URL.Path))
	})
	return r
}

// refuse responds to requests beyond the limit of those in progress.
func (e *Entry) refuse(w http.ResponseWriter, _ *http.Request) {
	e.reject(w, codes.WithRetryAfter(codes.New(codes.Overloaded, "the entry has as many requests in progress as it may"), time.Second))
}

func writeError(w http.ResponseWriter, err error) { writeFaults(w, err, nil) }

// writeFaults writes a response with the code that err carries. faults lists the
// faults of the request's body; it is nil for other errors.
func writeFaults(w http.ResponseWriter, err error, faults any) {
	code := codes.Of(err)
	info := code.Info()
	p := view.Problem{Code: code, Name: info.Name, Message: err.Error(), Ran: info.Ran, Retry: info.Retry, Faults: faults}
	w.Header().Set(headerCode, strconv.Itoa(int(code)))
	w.Header().Set(headerRan, string(info.Ran))
	if after := codes.RetryAfter(err); after > 0 {
		p.RetryAfter = after.String()
		w.Header().Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	admin.WriteJSON(w, info.Status, p)
}

// maxJSONBody is the longest body, in bytes, that decodeBody accepts.
const maxJSONBody = 1 << 20

// decodeBody decodes the JSON body of a request into v. A key without a field in v is
// an error.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := intake.ReadAll(w, r, maxJSONBody)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return codes.Wrap(err, codes.BadRequest, "the body is not valid")
	}
	return nil
}
