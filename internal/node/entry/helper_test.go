package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// linkLog is one process's connection to a log.
type linkLog struct {
	port.Log

	mu sync.Mutex
	// lost counts the calls of loseReads. The response to a read that began before the
	// latest one is lost.
	lost int
	// down makes every call fail, and silent leaves every read without a response.
	down, silent bool
}

// loseReads loses the responses to the reads that are in flight. They return when
// their timeouts end. Later reads work.
func (l *linkLog) loseReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

// cut makes every later call fail, and loses the responses to those in flight.
func (l *linkLog) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
	l.down = true
}

// hang leaves the reads in flight and all later ones without a response.
func (l *linkLog) hang() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
	l.silent = true
}

func (l *linkLog) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *linkLog) state() (lost int, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost, l.down
}

func (l *linkLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if _, down := l.state(); down {
		return 0, plog.ErrDown
	}
	return l.Log.Append(ctx, data)
}

func (l *linkLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) ([]port.Entry, uint64, error) {
	before, down := l.state()
	if down {
		return nil, from, plog.ErrDown
	}
	entries, next, err := l.Log.Read(ctx, from, limit, wait)
	if after, _ := l.state(); after != before || l.isSilent() {
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	return entries, next, err
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startEntry starts an entry that leads the cell if no other does. peers are the entries
// that it may load the state from.
func startEntry(name string, log port.Log, peers ...netip.AddrPort) *entry.Entry {
	return start(proc.Entry{Name: name, Entries: peers}, log)
}

// startEntryAt starts an entry that tells the others to connect to the given address.
func startEntryAt(name string, log port.Log, advertise netip.AddrPort) *entry.Entry {
	return start(proc.Entry{Name: name, Advertise: advertise}, log)
}

func start(cfg proc.Entry, log port.Log) *entry.Entry {
	cfg.Zone, cfg.Cells = "z", []string{"main"}
	cfg.Callers, cfg.Peers, cfg.Admin = loopback, loopback, loopback
	e, err := entry.Start(cfg, log, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Kill)
	return e
}

// startReady starts an entry and waits until it has read the log to its end.
func startReady(name string, log port.Log) *entry.Entry {
	e := startEntry(name, log)
	Eventually(e.Ready).WithTimeout(5 * time.Second).Should(Succeed())
	return e
}

// answer is an entry's response to a call.
type answer struct {
	Status int
	Code   codes.Code
	Body   string
	// Took is how long the call took.
	Took time.Duration
}

// call sends a request to an entry. header holds names and values in turn.
func call(e *entry.Entry, method, path, body string, header ...string) answer {
	req, err := http.NewRequest(method, "http://"+e.Addr().String()+path, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	a := answer{Status: resp.StatusCode, Body: string(data), Took: time.Since(started)}
	if a.Status >= http.StatusBadRequest {
		var problem struct {
			Code codes.Code `json:"code"`
		}
		Expect(json.Unmarshal(data, &problem)).To(Succeed())
		a.Code = problem.Code
	}
	return a
}

const (
	teamPath   = "/v1/teams/t"
	teamConfig = `{"batch": {"bulk": {"cpu": 1, "memory": "1GB"}}}`
	bulkJob    = `{"kind": "bulk", "tasks": 2}`
)

// publish publishes the configuration of team t.
func publish(e *entry.Entry, base, body string) { publishTeam(e, "t", base, body) }

func publishTeam(e *entry.Entry, team, base, body string) {
	a := call(e, http.MethodPut, "/v1/teams/"+team+"/config", body, "If-Match", base)
	Expect(a.Status).To(Equal(http.StatusOK), a.Body)
}

// submit submits a job and returns its path.
func submit(e *entry.Entry, key string) string {
	a := call(e, http.MethodPost, teamPath+"/jobs", bulkJob, "Idempotency-Key", key)
	Expect(a.Status).To(Equal(http.StatusAccepted), a.Body)
	var job struct {
		ID string `json:"id"`
	}
	Expect(json.Unmarshal([]byte(a.Body), &job)).To(Succeed())
	return teamPath + "/jobs/" + job.ID
}
