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

// store is a stand-in of the platform's metadata store: keyed topics with appends, reads and lists.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced by each write
}

type topic struct {
	records [][]byte // key length, key, value
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record with the value as JSON. A nil value drops the key.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value) // the values of the cases can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, data)
}

// append appends a record. The caller holds mu.
func (s *store) append(name, key string, data []byte) {
	t := s.topic(name)
	t.records = append(t.records, append(append([]byte{byte(len(key))}, key...), data...))
	t.newest[key] = newestRecord{data, len(t.records) - 1}
	if data == nil {
		delete(t.newest, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// topic returns the topic and creates it if necessary. The caller holds mu.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{
			"Key": key, "Value": base64.StdEncoding.EncodeToString(t.newest[key].value), "Offset": t.newest[key].offset,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": items, "HasMore": false, "EndOffset": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("From"))
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("Topic")), s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(t.records) || waited {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range t.records[from:] {
				data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
				data = append(data, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case name == "keyed.op" || name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
	case err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]):
		w.WriteHeader(http.StatusBadRequest)
	default:
		keyEnd := 5 + int(body[4])
		value := body[keyEnd:]
		if len(value) == 0 {
			value = nil
		}
		s.append(name, string(body[5:keyEnd]), value)
		end := len(s.topic(name).records)
		_ = json.NewEncoder(w).Encode(map[string]any{"Offset": end - 1, "EndOffset": end})
	}
}
