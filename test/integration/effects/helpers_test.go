package effects

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/test/cluster"
)

const pollEvery = 20 * time.Millisecond

// killDuring asks daemon 0 and kills it once the condition holds.
func (s *session) killDuring(key string, reached func() bool) answer {
	asked := s.begin(0, request{key: key})
	require.Eventually(s.t, func() bool {
		if reached() {
			return true
		}
		select {
		case <-asked: // refused: the daemon has yet to recover from the step before
			asked = s.begin(0, request{key: key})
		default:
		}
		return false
	}, cluster.WaitTimeout, pollEvery)
	s.Daemons[0].Kill()
	return <-asked
}

// mend ends the faults and replaces daemon 0 where it was killed.
func (s *session) mend() {
	s.fault(s.LogService, noFault)
	s.fault(s.registry, noFault)
	if s.Daemons[0].Wait(50 * time.Millisecond) {
		s.restart(0)
	}
}

// occupy fills all slots of the registry, and the queue of daemon 0 before them, until the returned function is called.
func (s *session) occupy() (end func()) {
	s.fault(s.registry, `{"mode":"silent"}`)
	before := len(allRuns(s.t, s.registry))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 * slots {
		wg.Go(func() { post(ctx, s.Daemons[0].Address, request{}) })
	}
	full := func() bool { return len(allRuns(s.t, s.registry)) >= before+slots }
	require.Eventually(s.t, full, cluster.WaitTimeout, pollEvery)
	return func() {
		cancel()
		wg.Wait()
		s.fault(s.registry, noFault)
	}
}

// idle reports whether the registry runs nothing.
func (s *session) idle() bool {
	for _, run := range allRuns(s.t, s.registry) {
		if run.Ended == nil {
			return false
		}
	}
	return true
}

// met returns how many requests the last fault of a stand-in met.
func (s *session) met(at *cluster.Process) int {
	resp, err := http.Get("http://" + at.Address + "/admin/faults")
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var counter struct{ Met int }
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&counter))
	return counter.Met
}

// claimed reports whether the log holds a claim of the key.
func (s *session) claimed(key string) bool {
	parsed, err := claim.Issuer{}.Parse("small", key)
	require.NoError(s.t, err)
	hash := parsed.Hash("small")
	for _, b := range s.batches() {
		for _, r := range b.Records {
			if r.Kind == claim.KindClaim && r.Key == hash {
				return true
			}
		}
	}
	return false
}

// batches returns what the claims topic holds.
func (s *session) batches() []claim.Batch {
	url := fmt.Sprintf("http://%s/topics/%s/partitions/0/messages?offset=0&count=10000", s.LogService.Address, claimsTopic)
	resp, err := http.Get(url)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var records []struct{ Value []byte }
	if json.NewDecoder(resp.Body).Decode(&records) != nil {
		return nil
	}
	var out []claim.Batch
	for _, r := range records {
		b, err := claim.Decode(r.Value)
		require.NoError(s.t, err, hex.EncodeToString(r.Value))
		out = append(out, b)
	}
	return out
}

// askUntilKnown asks again as a patient caller does, as long as it is told to.
func (s *session) askUntilKnown(i int, key string) answer {
	var heard answer
	require.Eventually(s.t, func() bool {
		heard = s.ask(i, request{key: key})
		return heard.err == nil && heard.code != "1204" && heard.code != "3005" && heard.code != "1103"
	}, cluster.WaitTimeout, pollEvery)
	return heard
}
