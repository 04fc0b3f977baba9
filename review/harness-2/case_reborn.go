package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	cutFor     = 2 * time.Second
	cutAt      = 1500 * time.Millisecond // after the streams have begun
	rebornAt   = 500 * time.Millisecond  // after the cut
	streamsOut = 10
)

// streamResult is what a client got.
type streamResult struct {
	status   int
	events   int
	complete bool // the answer ended as a complete one
	err      error
	runner   string
}

func (c *client) stream(path, id, key string, deadline time.Duration) streamResult {
	c.rec.logf("client sends POST %s %s to %s", path, id, c.entry)
	q, err := http.NewRequest("POST", "http://"+c.entry+path, strings.NewReader("prompt"))
	check(err)
	q.Host = "host.example"
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Api-Key": key, "X-Model": "m", "X-Token-Usage": "198,300",
		"X-Prompt-Prefix": "5c1e07a2:119,91bd3f06:79,e" + id[:7] + ":20",
	} {
		q.Header.Set(name, value)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	r, err := c.http.Do(q.WithContext(ctx))
	if err != nil {
		return streamResult{err: err}
	}
	defer r.Body.Close()
	result := streamResult{status: r.StatusCode, runner: r.Header.Get("X-Runner-Signature")}
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			result.events++
		}
	}
	result.err = lines.Err()
	result.complete = result.err == nil
	return result
}

// reborn cuts a runner off while it streams; it crashes behind the cut and starts again.
func reborn(f *fleet) bool {
	rec := f.rec
	s := newStore()
	var runners []*processRunner
	for i, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		r := startProcessRunner(rec, s, fmt.Sprintf("i-%d", i+1), "drafting-llm", zone)
		runners = append(runners, r)
		f.runners = append(f.runners, r)
	}
	stream := route("clerk-query", "/query/", "streaming", "drafting-llm", 1, 12000)
	stream["SessionAffinity"], stream["TargetLatencyMs"], stream["TargetGapMs"] = true, 400, 400
	s.put("keyed.op", "config", engineConfigRecord(7, []map[string]any{stream}, "drafting-llm", "key-1"))
	f.startDaemons(s)
	var mu sync.Mutex
	var results []streamResult
	var clients sync.WaitGroup
	for i := range streamsOut {
		clients.Go(func() {
			id := newID()
			result := newClient(rec, f.daemons[i%len(f.daemons)].entry).stream("/query/x", id, "key-1", 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			rec.logf("%s: status %d, signature %q, %d of %d events, ended as complete: %v (%v)", id, result.status, result.runner, result.events, streamEvents, result.complete, result.err)
			results = append(results, result)
		})
	}
	time.Sleep(cutAt)
	// One runner of five: that with the most streams.
	cut := slices.MaxFunc(runners, func(a, b *processRunner) int { return a.runCount() - b.runCount() })
	if trouble {
		for _, r := range []*processRunner{cut} {
			rec.logf("runner %s is cut off from the daemons", r.id)
			r.proxy.begin()
		}
		time.Sleep(rebornAt)
		for _, r := range []*processRunner{cut} {
			r.kill()
			rec.logf("runner %s has crashed behind the cut", r.id)
			r.start()
			rec.logf("runner %s has started again", r.id)
		}
		time.Sleep(cutFor - rebornAt)
		for _, r := range []*processRunner{cut} {
			rec.logf("the cut of runner %s heals", r.id)
			r.proxy.heal()
		}
	}
	clients.Wait()
	broken := false
	for _, r := range results {
		if r.status == 200 && r.complete && r.events < streamEvents {
			broken = true
			rec.logf("ORDER broken: a stream ended as complete behind %d of %d events", r.events, streamEvents)
		}
	}
	return broken
}
