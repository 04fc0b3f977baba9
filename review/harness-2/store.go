package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is a record of a topic. A nil value removes the key.
type record struct {
	key   string
	value []byte
}

// topic is partition 0 of a keyed topic.
type topic struct {
	records []record
	changed chan struct{} // closed at the next append
}

// store is a stand-in of the platform's metadata store: keyed topics with one partition.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	server *http.Server
	addr   string
}

func newStore() *store {
	s := &store{topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	listener := listen()
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return l
}

// topic returns the topic of the name. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record and returns the time of the acknowledgement.
func (s *store) put(name, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, []record{{key, value}})
	return time.Now()
}

func (s *store) append(name string, records []record) (first int) {
	t := s.topic(name)
	first = len(t.records)
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n < 1 || 1+int(body[0]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		keyEnd := 1 + int(body[0])
		rec := record{key: string(body[1:keyEnd])}
		if keyEnd < n {
			rec.value = append([]byte(nil), body[keyEnd:n]...)
		}
		records = append(records, rec)
		body = body[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": end})
		return
	}
	first := s.append(name, records)
	writeJSON(w, http.StatusOK, map[string]any{"Offset": first, "EndOffset": first + len(records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if len(records) > from {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeRecords(w, records, len(records))
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []record, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	type item struct {
		Key, Value string
		Offset     int
	}
	newest := make(map[string]item)
	for i, rec := range t.records {
		if rec.value == nil {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i}
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		if i.Key > r.URL.Query().Get("After") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "HasMore": more, "EndOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
