package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	silentEvents  = 10 // of a stream
	silentGap     = 50 * time.Millisecond
	silentPrefill = 300 * time.Millisecond // until the first event or, if none is left, the end: half of the route's objective
	silentFor     = 1700 * time.Millisecond
	silentWindow  = time.Second // behind an acknowledgement, in which the streams begin that have a silence
	besideConfig  = 3 * time.Second
)

// besides tells which times lie beside changes of the configuration.
type besides struct {
	mu    sync.Mutex
	acked []time.Time
}

func (b *besides) add(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acked = append(b.acked, at)
}

// contains reports whether both times are behind the same acknowledgement, by no more than the given time.
func (b *besides) contains(from, to time.Time, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.acked {
		if from.After(at) && to.Before(at.Add(within)) {
			return true
		}
	}
	return false
}

// silentEnd changes the configuration twice. Runners fall silent once in each stream that begins right behind a change, between its last
// event and its end, and then end it.
func silentEnd(f *fleet) bool {
	rec := f.rec
	s := newStore()
	changes := &besides{}
	for i, zone := range []string{"za", "zb", "zc"} {
		r := newRunner(rec, s, fmt.Sprintf("i-%d", i+1), "drafting-llm", zone)
		r.slots = 64
		r.handle = func(w http.ResponseWriter, q *http.Request) bool {
			id, begun, first := q.Header.Get("X-Attempt-Id"), time.Now(), 1
			if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
				first = last + 1
			}
			time.Sleep(silentPrefill)
			w.Header().Set("X-Attempt-Id", id)
			w.Header().Set("X-Runner-Signature", "s-"+r.id+"-"+id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			for n := first; n <= silentEvents; n++ {
				fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, id)
				w.(http.Flusher).Flush()
				time.Sleep(silentGap)
			}
			if trouble && first == 1 && changes.contains(begun, begun, silentWindow) {
				rec.logf("runner %s has sent all events of %s and is silent for %v", r.id, id, silentFor)
				select {
				case <-time.After(silentFor):
				case <-q.Context().Done():
					rec.logf("runner %s: the connection of %s was closed before its end", r.id, id)
					return true
				}
			}
			rec.logf("runner %s ends %s, from event %d on", r.id, id, first)
			return true
		}
		r.start()
	}
	config := func(version, timeoutMs int) []byte {
		stream := route("dossier-draft", "/draft/", "streaming", "drafting-llm", 2, timeoutMs)
		stream["SessionAffinity"], stream["TargetLatencyMs"], stream["TargetGapMs"], stream["StreamResumption"] = true, 600, 400, true
		return engineConfigRecord(version, []map[string]any{stream}, "drafting-llm", "key-1")
	}
	s.put("keyed.op", "config", config(7, 15000))
	f.startDaemons(s)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var beside, cutBeside, otherwise, cutOtherwise int
	var clients sync.WaitGroup
	end := time.Now().Add(18 * time.Second)
	for i := range 12 {
		clients.Go(func() {
			c := newClient(rec, f.daemons[i%len(f.daemons)].entry)
			for time.Now().Before(end) {
				id, sentAt := newID(), time.Now()
				result := c.stream("/draft/x", id, "key-1", 15*time.Second)
				endedAt := time.Now()
				rec.logf("client of %s gets %d, %d of %d events, complete: %v (%v)", id, result.status, result.events, silentEvents, result.complete, result.err)
				cut := result.status != 0 && !result.complete
				mu.Lock()
				switch isBeside := changes.contains(sentAt, endedAt, besideConfig); {
				case isBeside && cut:
					beside, cutBeside = beside+1, cutBeside+1
					rec.logf("LOST broken: the connection of %s ends without a complete answer, %v behind its request", id, endedAt.Sub(sentAt))
				case isBeside:
					beside++
				case cut:
					otherwise, cutOtherwise = otherwise+1, cutOtherwise+1
				default:
					otherwise++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := range 2 {
		time.Sleep(5 * time.Second)
		acked := s.put("keyed.op", "config", config(9+2*n, 14500-500*n))
		changes.add(acked)
		rec.logAt(acked, "configuration %d acknowledged: another time-out", 9+2*n)
	}
	clients.Wait()
	rec.logf("beside a change of the configuration %d of %d streams were cut, at other times %d of %d", cutBeside, beside, cutOtherwise, otherwise)
	// Beside a configuration it counts only if requests are cut over three times as often as at other times.
	return cutBeside > 0 && float64(cutBeside)/float64(beside) > 3*float64(cutOtherwise)/float64(max(1, otherwise))
}
