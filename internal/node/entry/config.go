package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// maxConfigBody is the longest configuration that is accepted, in bytes.
	maxConfigBody = 256 << 10
	headerAuthor  = "Author"
)

func (e *Entry) listTeams(w http.ResponseWriter, r *http.Request) {
	if err := e.readBarrier(r.Context()); err != nil {
		e.reject(w, err)
		return
	}
	e.mu.Lock()
	views := []view.Team{}
	for _, t := range e.core.Fold().Teams() {
		views = append(views, view.Team{
			Team: t.Name, Revision: t.Revision, Deleted: t.Deleted, Changed: t.Changed, Used: t.Used(),
		})
	}
	e.mu.Unlock()
	admin.WriteJSON(w, http.StatusOK, struct {
		Teams []view.Team `json:"teams"`
	}{views})
}

func etag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// checkReady returns an error until the log has been read to its end for the first
// time. Before that, the entry knows no services to route requests to.
func (e *Entry) checkReady() error {
	if !e.core.Ready() {
		return core.NotReadyError()
	}
	return nil
}

func (e *Entry) getConfig(w http.ResponseWriter, r *http.Request) {
	if err := e.readBarrier(r.Context()); err != nil {
		e.reject(w, err)
		return
	}
	if err := e.reserve(r.Context(), func() int64 { return e.historySize(mux.Vars(r)["team"], 1) }); err != nil {
		e.reject(w, err)
		return
	}
	body, revision, err := e.lookupConfig(mux.Vars(r)["team"])
	if err != nil {
		e.reject(w, err)
		return
	}
	w.Header().Set("ETag", etag(revision))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// lookupConfig returns a team's configuration and its revision from the state, as far as
// the log has been read.
func (e *Entry) lookupConfig(team string) ([]byte, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.core.Fold().Team(team)
	if t == nil || t.Deleted {
		return nil, 0, codes.New(codes.UnknownTeam, "no configuration is in force for team %q", team)
	}
	return t.Body, t.Revision, nil
}

// baseRevision returns the revision that the caller's change replaces, as its
// conditional headers name it; 0 for a new team.
func baseRevision(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, codes.New(codes.BadRequest, "If-Match: want the ETag of the revision to replace, or \"0\" for a new team")
	}
	return n, nil
}

func (e *Entry) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := intake.ReadAll(w, r, maxConfigBody)
	if err != nil {
		e.reject(w, err)
		return
	}
	if err := intake.Reserve(r.Context(), jsonc.DecodedSize(body)); err != nil {
		e.reject(w, err)
		return
	}
	base, err := baseRevision(r)
	if err != nil {
		e.reject(w, err)
		return
	}
	e.publish(w, &schema.ConfigPut{Team: mux.Vars(r)["team"], Base: base, Body: body, Author: author(r)})
}

// author returns the name that the caller gives for the history of changes.
func author(r *http.Request) string {
	if a := r.Header.Get(headerAuthor); a != "" {
		return a
	}
	return "unknown"
}

// publish checks a change of a configuration, commits it to the log and answers
// the caller.
func (e *Entry) publish(w http.ResponseWriter, put *schema.ConfigPut) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if !teams.ValidName(put.Team) {
		e.reject(w, codes.New(codes.BadRequest, "%q is no name for a team", put.Team))
		return
	}
	var warnings jsonc.Faults
	if !put.Delete {
		var faults jsonc.Faults
		var err error
		if faults, warnings, err = e.checkConfig(put); err != nil {
			writeFaults(w, err, faults)
			return
		}
	}
	result, err := e.commit(&schema.Record{Body: &schema.Record_Config{Config: put}})
	if result.Revision > 0 {
		w.Header().Set("ETag", etag(result.Revision))
	}
	if err != nil {
		e.reject(w, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, view.Published{
		Team: put.Team, Revision: result.Revision, Warnings: warnings,
	})
}

// checkConfig returns the faults and warnings of a configuration, and an error if it has
// faults. It compares the configuration with the VMs of its cell, and the sum of all
// quotas in the cell with the processors of these VMs.
func (e *Entry) checkConfig(put *schema.ConfigPut) (faults, warnings jsonc.Faults, err error) {
	cfg, faults := teams.Parse(put.Team, put.Body)
	if len(faults) > 0 {
		return faults, nil, faultsError(faults)
	}
	e.mu.Lock()
	vms, knowsVMs := e.capacities(cfg.CellName()), e.core.KnowsVMs(time.Now())
	otherQuotasMilli := uint64(0)
	for _, t := range e.core.Fold().Teams() {
		if t.Name != put.Team && !t.Deleted && t.Config.CellName() == cfg.CellName() {
			otherQuotasMilli += uint64(t.Config.Quota.CPU.Milli())
		}
	}
	e.mu.Unlock()
	faults, warnings = teams.CheckFit(put.Team, put.Body, vms, otherQuotasMilli)
	switch {
	case len(faults) == 0:
		return nil, warnings, nil
	case !knowsVMs:
		return faults, nil, vmsUnknownError()
	}
	return faults, nil, faultsError(faults)
}

func faultsError(faults jsonc.Faults) error {
	return codes.New(codes.ConfigInvalid, "the configuration has %d faults", len(faults))
}

func (e *Entry) deleteConfig(w http.ResponseWriter, r *http.Request) {
	base, err := baseRevision(r)
	if err != nil {
		e.reject(w, err)
		return
	}
	e.publish(w, &schema.ConfigPut{Team: mux.Vars(r)["team"], Base: base, Delete: true, Author: author(r)})
}

func (e *Entry) configHistory(w http.ResponseWriter, r *http.Request) {
	if err := e.readBarrier(r.Context()); err != nil {
		e.reject(w, err)
		return
	}
	team := mux.Vars(r)["team"]
	if err := e.reserve(r.Context(), func() int64 { return e.historySize(team, configCopies) }); err != nil {
		e.reject(w, err)
		return
	}
	changes := []view.Change{}
	for _, c := range e.history(team) {
		changes = append(changes, view.Change{
			Revision: c.GetRevision(), Author: c.GetAuthor(), At: time.UnixMilli(c.GetAtMs()),
			Deleted: c.GetDeleted(), RollbackOf: c.GetRollbackOf(), Body: string(c.GetBody()),
		})
	}
	if len(changes) == 0 {
		writeError(w, codes.New(codes.UnknownTeam, "team %q never had a configuration", team))
		return
	}
	admin.WriteJSON(w, http.StatusOK, struct {
		Changes []view.Change `json:"changes"`
	}{changes})
}

// configCopies is how many copies of a configuration are made while a response with it is encoded.
const configCopies = 4

// historySize returns what copies of a team's configurations take, in bytes. The caller holds mu.
func (e *Entry) historySize(team string, copies int64) int64 {
	t := e.core.Fold().Team(team)
	if t == nil {
		return 0
	}
	n := int64(0)
	for _, c := range t.History {
		n += int64(len(c.GetBody()))
	}
	return n * copies
}

func (e *Entry) history(team string) []*schema.ConfigChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.core.Fold().Team(team)
	if t == nil {
		return nil
	}
	return append([]*schema.ConfigChange(nil), t.History...)
}

// rollbackConfig publishes the body of an earlier revision as a new revision.
func (e *Entry) rollbackConfig(w http.ResponseWriter, r *http.Request) {
	var spec struct {
		Revision uint64 `json:"revision"`
	}
	base, err := baseRevision(r)
	if err == nil {
		err = decodeBody(w, r, &spec)
	}
	if err == nil {
		err = e.readBarrier(r.Context())
	}
	if err != nil {
		e.reject(w, err)
		return
	}
	team := mux.Vars(r)["team"]
	for _, c := range e.history(team) {
		if c.GetRevision() == spec.Revision && !c.GetDeleted() {
			e.publish(w, &schema.ConfigPut{
				Team: team, Base: base, Body: c.GetBody(), Author: author(r), RollbackOf: spec.Revision,
			})
			return
		}
	}
	e.reject(w, codes.New(codes.ConfigMissing, "revision %d of team %q is not kept", spec.Revision, team))
}
