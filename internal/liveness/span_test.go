package liveness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/upstream"
)

// Guards against two processes that are taken for one: connections are opened, asked and closed at random times over the lives of processes that
// follow each other at an address. Ends of connections are noticed late or never.
func TestSpansNeverJoinTwoProcesses(t *testing.T) {
	const histories, steps = 2000, 60
	confirmed, missed := 0, 0
	for seed := range uint64(histories) {
		rng := rand.New(rand.NewPCG(seed, 60))
		start := time.Unix(0, 0)
		s := newServer(upstream.Endpoint{})
		processOf := map[*conn]int{}
		process := 0
		type request struct {
			begun   time.Time
			process int
		}
		var requests []request
		for step := range steps {
			now := start.Add(time.Duration(step+1) * time.Second)
			switch rng.IntN(8) {
			case 0:
				process++ // the one before was killed
			case 1, 2:
				c := &conn{opened: now, since: now}
				s.conns = append(s.conns, c)
				processOf[c] = process
			case 3:
				if len(s.conns) > 0 { // the server closes it, or its end is noticed
					s.conns = slices.Delete(s.conns, 0, 1)
				}
			case 4, 5:
				requests = append(requests, request{now, process})
			default:
				if len(s.conns) == 0 {
					continue
				}
				c := s.conns[rng.IntN(len(s.conns))]
				if processOf[c] == process { // others don't answer
					s.recordLocked(c, now)
				}
			}
			for _, r := range requests {
				if s.span.covers(r.begun, now) {
					confirmed++
					require.Equal(t, process, r.process, "seed %d, step %d", seed, step)
				} else if r.process == process {
					missed++
				}
			}
		}
	}
	assert.Greater(t, confirmed, histories)
	t.Log(confirmed, "confirmed,", missed, "not")
}
