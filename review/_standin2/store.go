package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
)

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// tooLarge counts the appends that were refused because a record or call was too large;
	// refused describes the latest of them.
	tooLarge int
	refused  string
	// largest is the size of the largest record, in bytes.
	largest int
}

type topic struct {
	log     []record
	newest  map[string]record
	writers map[string]*producer
	changed chan struct{}
	// serial is held during an append: a partition processes its appends one at a time.
	serial sync.Mutex
}

type record struct {
	key    string
	value  []byte
	offset int64
	raw    []byte
}

type producer struct {
	epoch, next uint64
	replies     map[uint64][]byte
}

func newStore() *Store { return &Store{topics: map[string]*topic{}} }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, writers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator does.
func (s *Store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(name).add([][]byte{append(raw, value...)}, true)
}

func (t *topic) add(raws [][]byte, keyed bool) {
	for _, raw := range raws {
		r := record{raw: raw, offset: int64(len(t.log))}
		if keyed && len(raw) > 0 && len(raw) > int(raw[0]) {
			r.key, r.value = string(raw[1:1+raw[0]]), raw[1+int(raw[0]):]
			if len(r.value) == 0 {
				delete(t.newest, r.key)
			} else {
				t.newest[r.key] = r
			}
		}
		t.log = append(t.log, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.list(w, r)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var raws [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			reply(w, http.StatusBadRequest, map[string]string{"error": "a record is cut off"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		raws = append(raws, rest[4:4+n])
		rest = rest[4+n:]
		s.mu.Lock()
		s.largest = max(s.largest, n)
		s.mu.Unlock()
		if n > recordBytes {
			key := ""
			if last := raws[len(raws)-1]; len(last) > int(last[0]) {
				key = string(last[1 : 1+last[0]])
			}
			s.mu.Lock()
			s.tooLarge++
			s.refused = key + " of " + strconv.Itoa(n) + " bytes"
			s.mu.Unlock()
			reply(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "a record is larger than record_bytes"})
			return
		}
	}
	if len(body) > callBytes+4*len(raws) {
		reply(w, http.StatusRequestEntityTooLarge, map[string]string{"error": "a call is larger than call_bytes"})
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.serial.Lock()
	defer t.serial.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.log))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	answer := func() []byte {
		data, _ := json.Marshal(map[string]int64{"offset": end, "end": end + int64(len(raws))})
		return data
	}
	name, keyed := strings.CutPrefix(name, "keyed.")
	if name == "op" || name == "servers" {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	id := q.Get("producer")
	if id == "" {
		data := answer()
		t.add(raws, keyed)
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
		return
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	p := t.writers[id]
	switch {
	case p != nil && epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced", "end": end})
		return
	case p == nil || epoch > p.epoch:
		p = &producer{epoch: epoch, next: seq, replies: map[uint64][]byte{}}
		t.writers[id] = p
	}
	data, repeated := p.replies[seq]
	if !repeated && seq != p.next {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next, "end": end})
		return
	}
	if !repeated {
		data = answer()
		t.add(raws, keyed)
		p.replies[seq] = data
		delete(p.replies, seq-5)
		p.next++
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed, end := t.changed, int64(len(t.log))
		var log []record
		if from < end {
			log = t.log[from:end]
		}
		s.mu.Unlock()
		if len(log) > 0 || wait <= 0 {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, rec := range log {
				if len(data) > pageBytes {
					break
				}
				data = binary.BigEndian.AppendUint32(data, uint32(len(rec.raw)))
				data = append(data, rec.raw...)
			}
			w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	end := int64(len(t.log))
	var list []record
	for _, rec := range t.newest {
		if rec.key > q.Get("after") {
			list = append(list, rec)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].key < list[j].key })
	items, size, more := []any{}, 0, false
	for _, rec := range list {
		size += len(rec.value)
		if len(items) == pageItems || (len(items) > 0 && size > pageBytes) {
			more = true
			break
		}
		items = append(items, map[string]any{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

// sizes returns the number of appends that were refused for their size, the latest of them, and the
// size of the largest record.
func (s *Store) sizes() (tooLarge int, latest string, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge, s.refused, s.largest
}
