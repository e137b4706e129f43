package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes = 262144
	callBytes   = 2097152
	pageItems   = 500
	pageBytes   = 1 << 20
	appendTime  = 4 * time.Millisecond
	// repeats is the number of a producer's latest appends that get their first response again.
	repeats = 5
)

// store is a stand-in for the platform's store. It keeps keyed topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

// topic is a keyed topic. Its log is kept whole, which is more than the platform promises.
type topic struct {
	log     [][]byte
	newest  map[string]item
	changed chan struct{}
	// producers holds the state of each producer by name.
	producers map[string]*producer
	// appending is held while an append takes its time: a partition does one at a time.
	appending sync.Mutex
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
	size   int
}

type producer struct {
	epoch, next uint64
	replies     map[uint64]appended
}

type appended struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which it creates on first use.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}, changed: make(chan struct{}), producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{slices.Concat([]byte{byte(len(key))}, []byte(key), value)})
}

// add appends records and wakes the readers.
func (t *topic) add(records [][]byte) {
	for _, r := range records {
		n := int(r[0])
		key, value := string(r[1:1+n]), r[1+n:]
		t.newest[key] = item{key, base64.StdEncoding.EncodeToString(value), len(t.log), len(r)}
		if len(value) == 0 {
			delete(t.newest, key)
		}
		t.log = append(t.log, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.listNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// splitRecords splits the body of an append, or returns false if it is malformed.
func splitRecords(body []byte) ([][]byte, bool) {
	var list [][]byte
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 2 || n > recordBytes || n > len(body) || n < 1+int(body[0]) {
			return nil, false
		}
		list = append(list, body[:n])
		body = body[n:]
	}
	return list, true
}

func number(s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, callBytes))
	records, ok := splitRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	name, epoch, seq := q.Get("producer"), number(q.Get("epoch")), number(q.Get("seq"))
	p := t.producers[name]
	switch {
	case name == "":
	case p != nil && epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case p == nil || epoch > p.epoch:
		p = &producer{epoch: epoch, next: seq, replies: map[uint64]appended{}}
		t.producers[name] = p
	}
	if p != nil && name != "" {
		if again, known := p.replies[seq]; known {
			reply(w, http.StatusOK, again)
			return
		}
		if seq != p.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
		p.next++
	}
	done := appended{len(t.log), len(t.log) + len(records)}
	t.add(records)
	if name != "" {
		p.replies[seq] = done
		delete(p.replies, seq-repeats)
	}
	reply(w, http.StatusOK, done)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(number(q.Get("from")))
	until := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := len(t.log), t.changed
		records := t.log[min(from, end):]
		s.mu.Unlock()
		if len(records) > 0 {
			writeRecords(w, end, records)
			return
		}
		select {
		case <-changed:
		case <-until:
			writeRecords(w, end, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end int, records [][]byte) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records {
		if len(b)+len(r) > pageBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	w.Write(b)
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var list []item
	for _, it := range t.newest {
		if it.Key > q.Get("after") {
			list = append(list, it)
		}
	}
	end := len(t.log)
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(list) && n < pageItems && (n == 0 || size+list[n].size <= pageBytes) {
		size += list[n].size
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": list[:n], "has_more": n < len(list), "end": end})
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: only types of this program are encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
