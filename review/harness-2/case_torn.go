package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// garbledShare of the answers of the faulty runner, garbledFor and one runner of three are within the doses of the site file.
	garbledShare  = 0.03
	garbledFor    = 5 * time.Second
	garbledPause  = 2 * time.Second // before each of the garbledTimes
	garbledTimes  = 3
	tornClients   = 12
	tornRequestMs = 20 // pause of a client between two requests
	// shed is the answer of a runner that sheds a request, as the users' wire page shows it.
	shed = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n"
)

// tornFleet starts three daemons and three runners of the service, of which the first one is faulty: extra are the additional bytes that
// it sends behind garbledShare of its answers. Each of the clients repeats its requests one after the other, and calls check with each answer.
func tornFleet(f *fleet, kind, method string, attempts int, extra string, fails func(id string) bool, check func(id string, a answer, runners []*rawRunner)) {
	rec := f.rec
	s := newStore()
	var runners []*rawRunner
	begun := &startTime{}
	for i, zone := range []string{"za", "zb", "zc"} {
		r := startRawRunner(rec, s, fmt.Sprintf("i-%d", i+1), "cert-registry", zone, 15*time.Millisecond)
		r.fails = fails
		runners = append(runners, r)
	}
	if trouble {
		faulty := runners[0]
		var mu sync.Mutex
		answers, garbled, window := 0, 0, -1
		faulty.extra = func(string) string {
			mu.Lock()
			defer mu.Unlock()
			since := time.Since(begun.get())
			now := int(since / (garbledPause + garbledFor))
			if now >= garbledTimes || since%(garbledPause+garbledFor) < garbledPause {
				return ""
			}
			if now != window { // the share holds for each time
				answers, garbled, window = 0, 0, now
			}
			if answers++; float64(garbled+1) > garbledShare*float64(answers) {
				return ""
			}
			garbled++
			return extra
		}
	}
	s.put("keyed.op", "config", configRecord(7, []map[string]any{route("serial", "/serial/", kind, "cert-registry", attempts, 800)}, []string{"cert-registry"}, "key-1"))
	f.startDaemons(s)
	begun.set()
	var clients sync.WaitGroup
	for i := range tornClients {
		clients.Go(func() {
			c := newClient(rec, f.daemons[i%len(f.daemons)].entry)
			for end := time.Now().Add(garbledTimes * (garbledPause + garbledFor)); time.Now().Before(end); time.Sleep(tornRequestMs * time.Millisecond) {
				id := newID()
				check(id, c.send(method, "/serial/x", id, "key-1", 1500*time.Millisecond), runners)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	for _, r := range runners {
		answers, garbled := r.counts()
		rec.logf("runner %s gave %d answers, behind %d of them additional bytes (%.1f%%)", r.id, answers, garbled, 100*float64(garbled)/float64(max(1, answers)))
	}
}

// tornRefusal lets a runner send a refusal in addition to an answer, and break it off before its end. The variable MAX_ATTEMPTS is that of the
// route, 1 if it is not set.
func tornRefusal(f *fleet) bool {
	rec := f.rec
	var mu sync.Mutex
	sent, broken, attempts := 0, 0, 1
	if text := os.Getenv("MAX_ATTEMPTS"); text != "" {
		n, err := strconv.Atoi(text)
		check(err)
		attempts = n
	}
	tornFleet(f, "non_idempotent", "POST", attempts, shed[:len(shed)-len("\r\n\r\n")], nil, func(id string, a answer, runners []*rawRunner) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		runs := rec.runsOf(id)
		switch {
		case len(runs) > 1:
			broken++
			rec.logf("TWICE broken: %s ran %d times, at %s and %s", id, len(runs), runs[0].runner, runs[1].runner)
		case len(runs) > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421):
			broken++
			rec.logf("REFUSED broken: %s has run at %s and its client got %d, Retry-After %q, signature %q", id, runs[0].runner, a.status,
				a.header.Get("Retry-After"), a.header.Get("X-Runner-Signature"))
		case a.status != 200:
			rec.logf("%s: status %d, error %v, %d runs", id, a.status, a.err, len(runs))
		}
	})
	rec.logf("%d requests, %d broke the rule", sent, broken)
	return broken > 0
}

// tornAnswer lets a runner send a second answer in addition to a complete one, and break it off within its first line.
func tornAnswer(f *fleet) bool {
	rec := f.rec
	var mu sync.Mutex
	sent, broken := 0, 0
	failing := func(id string) bool { return id[0] == '0' || id[0] == '1' } // an eighth of the runs, as the class serial-verify
	tornFleet(f, "idempotent", "GET", 1, "HTTP/1.1 200 OK", failing, func(id string, a answer, runners []*rawRunner) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		for _, r := range runners {
			status, body := r.answered(id)
			if status == 500 && a.status/100 == 2 {
				broken++
				rec.logf("MIXED broken: %s got %d with signature %q, body %q; runner %s had answered %d", id, a.status, a.header.Get("X-Runner-Signature"), a.body, r.id, status)
			}
			if status == 200 && a.status == 200 && a.body != body {
				broken++
				rec.logf("MIXED broken: %s got another body", id)
			}
		}
	})
	rec.logf("%d requests, %d broke the rule", sent, broken)
	return broken > 0
}

// startTime is the time at which the clients begin; far ahead before.
type startTime struct {
	mu sync.Mutex
	at time.Time
}

func (s *startTime) set() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = time.Now()
}

func (s *startTime) get() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		return time.Now()
	}
	return s.at
}
