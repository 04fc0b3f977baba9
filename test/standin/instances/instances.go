// Package instances is a stand-in for the platform's instance list, whose changes become
// visible with a delay.
package instances

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/test/standin/faults"
)

// States of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Entry is an instance on the list.
type Entry struct {
	Address string `json:"address"` // ip:port
	Zone    string `json:"zone"`
	State   string `json:"state"` // live or leaving
}

// Options configures a Server.
type Options struct {
	Lag     time.Duration    // delay until a change is visible
	Entries []Entry          // entries visible from the start
	Now     func() time.Time // clock; time.Now if nil
}

// snapshot is the list from a point in time on.
type snapshot struct {
	at      time.Time
	entries []Entry
}

// Server serves the list. It is an http.Handler and safe for concurrent use.
type Server struct {
	opts   Options
	mux    *http.ServeMux
	faults faults.Injector

	mu        sync.Mutex
	snapshots []snapshot
}

// New returns a server that lists the entries in the options.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{opts: opts, mux: http.NewServeMux()}
	s.snapshots = []snapshot{{entries: slices.Clone(opts.Entries)}}
	s.mux.HandleFunc("GET /sd", s.list)
	s.mux.HandleFunc("POST /admin/instances", s.post)
	s.mux.HandleFunc("DELETE /admin/instances", s.delete)
	s.mux.Handle("POST /admin/faults", &s.faults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFault sets the active fault. The supported modes are None, Down, Flap and Slow.
func (s *Server) SetFault(f faults.Fault) {
	s.faults.Set(f)
}

// Set adds the entry or replaces the one with its address.
func (s *Server) Set(entry Entry) {
	s.update(func(entries []Entry) []Entry {
		return append(withoutAddress(entries, entry.Address), entry)
	})
}

// Remove removes the entry with the address.
func (s *Server) Remove(address string) {
	s.update(func(entries []Entry) []Entry { return withoutAddress(entries, address) })
}

func withoutAddress(entries []Entry, address string) []Entry {
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.Address == address })
}

func (s *Server) update(apply func([]Entry) []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.snapshots[len(s.snapshots)-1]
	entries := apply(slices.Clone(newest.entries))
	s.snapshots = append(s.snapshots, snapshot{at: s.opts.Now(), entries: entries})
}

// visibleEntries returns the entries as they were Options.Lag ago.
func (s *Server) visibleEntries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.opts.Now().Add(-s.opts.Lag)
	for len(s.snapshots) > 1 && !s.snapshots[1].at.After(cutoff) {
		s.snapshots = s.snapshots[1:]
	}
	return s.snapshots[0].entries
}

// targetGroup is one element of a Prometheus HTTP service discovery response.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	fault := s.faults.Next()
	switch fault.Mode {
	case faults.Down, faults.Flap:
		http.Error(w, "list is not available", http.StatusServiceUnavailable)
		return
	case faults.Slow:
		select {
		case <-time.After(fault.Delay()):
		case <-r.Context().Done():
			return
		}
	}
	groups := []targetGroup{}
	for _, entry := range s.visibleEntries() {
		groups = append(groups, targetGroup{
			Targets: []string{entry.Address},
			Labels:  map[string]string{"zone": entry.Zone, "state": entry.State},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(groups)
}

func (s *Server) post(w http.ResponseWriter, r *http.Request) {
	entry, ok := readEntry(w, r)
	if !ok {
		return
	}
	if entry.State == "" {
		entry.State = Live
	}
	s.Set(entry)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	entry, ok := readEntry(w, r)
	if !ok {
		return
	}
	s.Remove(entry.Address)
	w.WriteHeader(http.StatusNoContent)
}

func readEntry(w http.ResponseWriter, r *http.Request) (Entry, bool) {
	var entry Entry
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, "entry is not valid JSON", http.StatusBadRequest)
		return Entry{}, false
	}
	if _, err := netip.ParseAddrPort(entry.Address); err != nil {
		http.Error(w, "address is not ip:port", http.StatusBadRequest)
		return Entry{}, false
	}
	return entry, true
}
