package main

import (
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

const (
	// appendTime is how long an append takes.
	appendTime = 4 * time.Millisecond
	// pageItems is the number of records in a page of newest records.
	pageItems = 500
	// rememberedAppends is the number of appends of which a repeat gets its first response.
	rememberedAppends = 5
)

type record struct {
	key   string
	value []byte
}

// topic is a topic whose records have keys. All cases use partition 0 only.
type topic struct {
	records []record
	epoch   uint64
	nextSeq uint64
	written bool
	// replies holds the responses to the latest appends, by sequence number.
	replies map[uint64][]byte
	changed chan struct{}
}

// store is the platform's store. Appends are carried out one at a time.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func serveStore(addr string) {
	s := &store{topics: map[string]*topic{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.append)
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET /log-newest", s.newest)
	m.HandleFunc("POST /operator", s.operate)
	fail(http.ListenAndServe(addr, m).Error())
}

// topic returns a topic. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{replies: map[uint64][]byte{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records []record) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// operate writes a record as the operator.
func (s *store) operate(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic("keyed.op").add([]record{{r.URL.Query().Get("key"), value}})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	records, ok := parseRecords(body)
	switch {
	case err != nil || !ok:
		w.WriteHeader(http.StatusBadRequest)
		return
	case q.Get("topic") == "keyed.op" || q.Get("topic") == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(appendTime)
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if q.Get("producer") == "" {
		t.add(records)
		reply(w, http.StatusOK, map[string]any{"offset": end, "end": len(t.records)})
		return
	}
	epoch, seq := unsigned(q.Get("epoch")), unsigned(q.Get("seq"))
	switch {
	case t.written && epoch < t.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case !t.written || epoch > t.epoch:
		t.written, t.epoch, t.nextSeq, t.replies = true, epoch, seq, map[uint64][]byte{}
	}
	if len(records) == 0 {
		reply(w, http.StatusOK, map[string]any{"offset": end, "end": end})
		return
	}
	if first := t.replies[seq]; first != nil {
		w.Write(first)
		return
	}
	if seq != t.nextSeq {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": t.nextSeq})
		return
	}
	t.add(records)
	t.nextSeq++
	t.replies[seq], _ = json.Marshal(map[string]any{"offset": end, "end": len(t.records)})
	delete(t.replies, seq-rememberedAppends)
	w.Write(t.replies[seq])
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(unsigned(q.Get("from")))
	until := time.Now().Add(time.Duration(unsigned(q.Get("wait_ms"))) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	for len(t.records) <= from && time.Now().Before(until) {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, rec := range t.records[min(from, len(t.records)):] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(rec.key)+len(rec.value)))
		b = append(b, byte(len(rec.key)))
		b = append(b, rec.key...)
		b = append(b, rec.value...)
	}
	w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	page.End = len(t.records)
	latest := map[string]int{}
	for i, rec := range t.records {
		latest[rec.key] = i
	}
	var keys []string
	for key, i := range latest {
		if len(t.records[i].value) > 0 && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if len(page.Items) == pageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, item{key, t.records[latest[key]].value, latest[key]})
	}
	reply(w, http.StatusOK, page)
}

// parseRecords decodes the body of an append.
func parseRecords(b []byte) ([]record, bool) {
	var list []record
	for len(b) > 0 {
		if len(b) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(b))
		b = b[4:]
		if size > len(b) || size < 1+int(b[0]) {
			return nil, false
		}
		key := 1 + int(b[0])
		list = append(list, record{string(b[1:key]), slices.Clone(b[key:size])})
		b = b[size:]
	}
	return list, true
}

func unsigned(s string) uint64 {
	n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fail(err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
