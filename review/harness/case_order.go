package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	dossiers       = 181                   // that the prompts share
	draftEvents    = 48                    // events of a stream
	eventStep      = 20 * time.Millisecond // time that an event takes
	eventsPerWrite = 4                     // events that the runner writes together
)

// draftEvent returns an event of a stream with about 60 bytes of data.
func draftEvent(attempt string, id int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, strings.Repeat("t", 52)+fmt.Sprintf("%08d", id))
}

// streamDraft writes the events after Last-Event-Id. One event of a spoiled stream has other bytes in the place of its own.
func streamDraft(r *runner, spoilShare func() float64) func(c net.Conn, request *received, gone <-chan struct{}) bool {
	return func(c net.Conn, request *received, gone <-chan struct{}) bool {
		after, _ := strconv.Atoi(request.header.Get("Last-Event-Id"))
		head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id + "\r\nX-Runner-Signature: " + signature(r.id, request.id) +
			"\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		if !r.write(c, []byte(head)) {
			return false
		}
		spoiled := 0
		if rand.Float64() < spoilShare() && after+2 < draftEvents {
			spoiled = after + 2 + rand.IntN(draftEvents-after-2)
			r.rec.printf("runner %s spoils event %d of %s", r.id, spoiled, request.id)
		}
		var pending []byte
		for id := after + 1; id <= draftEvents; id++ {
			select {
			case <-gone:
				return false
			case <-time.After(eventStep):
			}
			event := draftEvent(request.id, id)
			if id == spoiled {
				event = append(bytes.Repeat([]byte("#"), len(event)-2), '\n', '\n')
			}
			pending = append(pending, event...)
			if id%eventsPerWrite == 0 || id == draftEvents {
				chunk := append(fmt.Appendf(nil, "%x\r\n", len(pending)), pending...)
				if !r.write(c, append(chunk, '\r', '\n')) {
					return false
				}
				pending = pending[:0]
			}
		}
		return r.write(c, []byte("0\r\n\r\n"))
	}
}

func draftCall() call {
	return call{
		id: newAttemptID(), method: http.MethodPost, path: draftPath, body: make([]byte, 12000), deadline: 15 * time.Second,
		header: fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 6610,288\r\nX-Prompt-Prefix: 5c1e07a2:512,91bd%04x:4870,%s:1228\r\n",
			rand.IntN(dossiers), newAttemptID()[:8]),
	}
}

// missingPieces returns the ids of the events that a whole answer to a new stream lacks.
func missingPieces(body []byte) (missing []int) {
	have := map[int]bool{}
	for line := range strings.Lines(string(body)) {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ := strconv.Atoi(strings.TrimSpace(value))
			have[id] = true
		}
	}
	for id := 1; id <= draftEvents; id++ {
		if !have[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// playOrder: runners spoil an event in some of their streams, which may be resumed.
func playOrder(f *fleet) (string, error) {
	runners, err := f.startRunners(modelService, 12, 64)
	if err != nil {
		return "", err
	}
	const spoiledRunners = 5 // of twelve: 0.417
	spoilShare := make([]float64, len(runners))
	set := func(share float64) {
		for i, r := range runners[:spoiledRunners] {
			r.locked(func() { spoilShare[i] = share })
		}
	}
	for i, r := range runners {
		r.work = func() time.Duration { return 60 * time.Millisecond }
		r.stream = streamDraft(r, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return spoilShare[i]
		})
	}
	if err := f.startDaemons(); err != nil {
		return "", err
	}
	f.disrupt("garble at five of twelve runners, 0.0289 of their answers for 5.42 s", 7, 5420*time.Millisecond,
		func() { set(0.0289) }, func() { set(0) })
	outcomes := f.sendSteadily(54*time.Second, 50, 77, draftCall)
	broken := 0
	for id, o := range outcomes {
		if o.status != 200 || !o.whole {
			continue
		}
		if missing := missingPieces(o.body); len(missing) > 0 {
			broken++
			f.rec.printf("RULE: the stream %s ended as complete and lacks the events %v", id, missing)
			f.rec.printf("what the client got: %q", o.body)
		}
	}
	f.rec.printf("%d streams, %d that ended as complete lack events", len(outcomes), broken)
	if broken > 0 {
		return fmt.Sprintf("%d of %d streams ended as complete, but lack events that the runner had sent", broken, len(outcomes)), nil
	}
	return "", nil
}
