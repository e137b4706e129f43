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
	callers = 8
	// pause spaces one caller's requests, so that the load spans the events.
	pause = 150 * time.Millisecond
	// resends bounds how often a caller sends one request.
	resends = 20
)

// load sends requests from concurrent callers and checks the answers.
type load struct {
	*trial
	wg sync.WaitGroup

	mu        sync.Mutex
	latencies []time.Duration
	wrong     int
	lost      int
}

func newLoad(t *trial) *load { return &load{trial: t} }

func (l *load) begin(ctx context.Context) {
	for c := range callers {
		l.wg.Go(func() {
			rnd := rand.New(rand.NewPCG(l.Seed, uint64(c)))
			for i := c; i < l.Requests; i += callers {
				l.one(ctx, rnd, i)
				wait(ctx, pause)
			}
		})
	}
}

// one sends a request until it is answered, as a caller would.
func (l *load) one(ctx context.Context, rnd *rand.Rand, i int) {
	body := []byte(l.Workload.body(rnd, i))
	for try := range resends {
		began := time.Now()
		a, err := l.client(i+try).Do(ctx, http.MethodPost, l.Workload.requestPath(), l.Workload.header(), body)
		if err == nil && a.Status == http.StatusOK {
			l.answered(time.Since(began), a, body)
			return
		}
		wait(ctx, 50*time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

// answered compares an answer with the one that belongs to the request.
func (l *load) answered(took time.Duration, a client.Answer, body []byte) {
	want := worker.Answer(port.Request{ID: a.Header.Get("Request-Id"), Path: l.Workload.path, Body: body})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, took)
	if !bytes.Equal(want.Body, a.Body) {
		l.wrong++
	}
}

// finish waits for all callers and sums up.
func (l *load) finish() Outcome {
	l.wg.Wait()
	slices.Sort(l.latencies)
	o := Outcome{Requests: l.Requests, Answered: len(l.latencies), Wrong: l.wrong, Lost: l.lost}
	if n := len(l.latencies); n > 0 {
		o.P99 = l.latencies[min(n-1, n*99/100)]
	}
	return o
}
