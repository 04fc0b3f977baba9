package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// strayEntry lets another writer put an entry with missing fields beside those of the runners. Its address is that of a program that is no
// runner: it knows none of the paths, and answers 404.
func strayEntry(f *fleet) bool {
	rec := f.rec
	s := newStore()
	for i, zone := range []string{"za", "zb", "zc"} {
		startRunner(rec, s, fmt.Sprintf("i-%d", i+1), "cert-registry", zone, 15*time.Millisecond)
	}
	var mu sync.Mutex
	strays := 0
	l := listen()
	other := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		strays++
		mu.Unlock()
		rec.logf("the other program gets %s %s of %s for %s", q.Method, q.RequestURI, q.Header.Get("X-Attempt-Id"), q.Header.Get("X-Tenant"))
		http.NotFound(w, q)
	})}
	other.SetKeepAlivesEnabled(false) // a connection for each request
	go other.Serve(l)
	s.put("keyed.op", "config", configRecord(7, []map[string]any{route("serial", "/serial/", "non_idempotent", "cert-registry", 1, 800)}, []string{"cert-registry"}, "key-1"))
	f.startDaemons(s)
	if trouble {
		entry, err := json.Marshal(map[string]any{ // Version and ColdRemainingMs are missing
			"Service": "cert-registry", "Address": l.Addr().String(), "Zone": "za", "Slots": 6, "State": "ready", "SequenceNumber": 1,
		})
		check(err)
		acked := s.put("keyed.servers", "other-1", entry)
		rec.logAt(acked, "another writer puts servers/other-1: %s", entry)
	}
	time.Sleep(3 * time.Second)
	sent, denied := 0, 0
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			c := newClient(rec, f.daemons[i%len(f.daemons)].entry)
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				id := newID()
				a := c.send("POST", "/serial/x", id, "key-1", 1500*time.Millisecond)
				mu.Lock()
				sent++
				if a.status/100 == 4 && a.status != 429 && a.status != 408 && a.status != 421 {
					denied++
					rec.logf("%s gets %d, signature %q, runs at runners: %d", id, a.status, a.header.Get("X-Runner-Signature"), len(rec.runsOf(id)))
				} else if a.status != 200 {
					rec.logf("%s gets %d, error %v", id, a.status, a.err)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	rec.logf("%d requests, %d of them ended with a 4xx, %d reached the other program", sent, denied, strays)
	broken := float64(denied) > 5+float64(sent)/500
	if broken {
		rec.logf("DENIED broken: at most %.1f may", 5+float64(sent)/500)
	}
	return broken
}
