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

const pollInterval = 20 * time.Millisecond

// killDaemonWhen sends a request to daemon 0, kills the daemon once reached returns true and
// returns the answer.
func (f *fixture) killDaemonWhen(key string, reached func() bool) answer {
	pending := f.sendAsync(0, request{key: key})
	require.Eventually(f.t, func() bool {
		if reached() {
			return true
		}
		select {
		case <-pending: // refused, since the daemon has not recovered from the previous step yet
			pending = f.sendAsync(0, request{key: key})
		default:
		}
		return false
	}, cluster.WaitTimeout, pollInterval)
	f.Daemons[0].Kill()
	return <-pending
}

// restore clears the faults and restarts daemon 0 if it was killed.
func (f *fixture) restore() {
	f.setFault(f.LogService, noFault)
	f.setFault(f.registry, noFault)
	if f.Daemons[0].Wait(50 * time.Millisecond) {
		f.restartDaemon(0)
	}
}

// occupySlots fills all slots of the registry and the queue of daemon 0 until release is called.
func (f *fixture) occupySlots() (release func()) {
	f.setFault(f.registry, `{"mode":"silent"}`)
	before := len(listRuns(f.t, f.registry))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 * registrySlots {
		wg.Go(func() { postStamp(ctx, f.Daemons[0].Address, request{}) })
	}
	full := func() bool { return len(listRuns(f.t, f.registry)) >= before+registrySlots }
	require.Eventually(f.t, full, cluster.WaitTimeout, pollInterval)
	return func() {
		cancel()
		wg.Wait()
		f.setFault(f.registry, noFault)
	}
}

// registryIdle reports whether no request is running at the registry.
func (f *fixture) registryIdle() bool {
	for _, run := range listRuns(f.t, f.registry) {
		if run.Ended == nil {
			return false
		}
	}
	return true
}

// injectedFaultCount returns the number of requests to a stand-in that its last fault was applied
// to.
func (f *fixture) injectedFaultCount(standin *cluster.Process) int {
	resp, err := http.Get("http://" + standin.Address + "/admin/faults")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var counter struct{ Met int }
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&counter))
	return counter.Met
}

// hasClaim reports whether the log contains a claim for the key.
func (f *fixture) hasClaim(key string) bool {
	parsed, err := claim.Issuer{}.Parse("small", key)
	require.NoError(f.t, err)
	hash := parsed.Hash("small")
	for _, b := range f.claimBatches() {
		for _, r := range b.Records {
			if r.Kind == claim.KindClaim && r.Key == hash {
				return true
			}
		}
	}
	return false
}

// claimBatches returns the batches in the claims topic, or nil if the topic cannot be read.
func (f *fixture) claimBatches() []claim.Batch {
	url := fmt.Sprintf("http://%s/topics/%s/partitions/0/messages?offset=0&count=10000", f.LogService.Address, claimsTopic)
	resp, err := http.Get(url)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var records []struct{ Value []byte }
	if json.NewDecoder(resp.Body).Decode(&records) != nil {
		return nil
	}
	var out []claim.Batch
	for _, r := range records {
		b, err := claim.Decode(r.Value)
		require.NoError(f.t, err, hex.EncodeToString(r.Value))
		out = append(out, b)
	}
	return out
}

// retryUntilKnown repeats the request at daemon i while the connection fails or the result code
// asks for a retry, and returns the first other answer.
func (f *fixture) retryUntilKnown(i int, key string) answer {
	var last answer
	require.Eventually(f.t, func() bool {
		last = f.send(i, request{key: key})
		return last.err == nil && last.resultCode != "1204" && last.resultCode != "3005" && last.resultCode != "1103"
	}, cluster.WaitTimeout, pollInterval)
	return last
}
