package trial

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

const (
	// callers is the number of concurrent callers.
	callers = 8
	// callerPause is the time between two requests of a caller. It is long enough for the
	// load to last during all the faults that the trial injects.
	callerPause = 150 * time.Millisecond
	// maxSends is the number of unsuccessful tries after which a request counts as lost.
	maxSends = 20
)

// load sends requests from concurrent callers and checks the responses.
type load struct {
	*trial
	wg sync.WaitGroup

	mu        sync.Mutex
	latencies []time.Duration // of answered requests
	wrong     int             // responses that do not match the request
	lost      int             // requests without a successful response
}

func newLoad(t *trial) *load { return &load{trial: t} }

func (l *load) begin(ctx context.Context) {
	for caller := range callers {
		l.wg.Go(func() {
			rnd := rand.New(rand.NewPCG(l.Seed, uint64(caller)))
			for i := caller; i < l.Requests; i += callers {
				l.sendRequest(ctx, rnd, i)
				wait(ctx, callerPause)
			}
		})
	}
}

// sendRequest sends request i to the entries in turn until it succeeds or was sent maxSends
// times.
func (l *load) sendRequest(ctx context.Context, rnd *rand.Rand, i int) {
	body := []byte(l.Workload.body(rnd, i))
	var failure error
	for try := range maxSends {
		started := time.Now()
		a, err := l.client(i+try).Do(ctx, http.MethodPost, l.Workload.requestPath(), l.Workload.header(), body)
		if err == nil && a.Status == http.StatusOK {
			l.checkResponse(time.Since(started), a, body)
			return
		}
		failure = err
		if err == nil {
			failure = a.Problem()
		}
		wait(ctx, 50*time.Millisecond) // before the next try
	}
	l.logf("request %d is lost; the latest try: %v", i, failure)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

// checkResponse records the latency of a request and checks that the response matches it.
func (l *load) checkResponse(took time.Duration, a client.Answer, body []byte) {
	want := worker.Answer(port.Request{ID: a.Header.Get("Request-Id"), Path: l.Workload.path, Body: body})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, took)
	if !bytes.Equal(want.Body, a.Body) {
		l.wrong++
	}
}

// finish waits for all callers and returns their results.
func (l *load) finish() Outcome {
	l.wg.Wait()
	slices.Sort(l.latencies)
	o := Outcome{Requests: l.Requests, Answered: len(l.latencies), Wrong: l.wrong, Lost: l.lost}
	if n := len(l.latencies); n > 0 {
		o.P99 = l.latencies[min(n-1, n*99/100)]
	}
	return o
}
