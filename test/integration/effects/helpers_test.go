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

// killDuring asks daemon 0 and kills it once the condition holds.
func (f *fixture) killDaemonWhen(key string, reached func() bool) answer {
	pending := f.sendAsync(0, request{key: key})
	require.Eventually(f.t, func() bool {
		if reached() {
			return true
		}
		select {
		case <-pending: // refused: the daemon has yet to recover from the step before
			pending = f.sendAsync(0, request{key: key})
		default:
		}
		return false
	}, cluster.WaitTimeout, pollInterval)
	f.Daemons[0].Kill()
	return <-pending
}

// mend ends the faults and replaces daemon 0 where it was killed.
func (f *fixture) restore() {
	f.injectFault(f.LogService, noFault)
	f.injectFault(f.registry, noFault)
	if f.Daemons[0].Wait(50 * time.Millisecond) {
		f.restartDaemon(0)
	}
}

// occupy fills all slots of the registry, and the queue of daemon 0 before them, until the returned function is called.
func (f *fixture) occupySlots() (release func()) {
	f.injectFault(f.registry, `{"mode":"silent"}`)
	before := len(allRuns(f.t, f.registry))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 * registrySlots {
		wg.Go(func() { postStamp(ctx, f.Daemons[0].Address, request{}) })
	}
	full := func() bool { return len(allRuns(f.t, f.registry)) >= before+registrySlots }
	require.Eventually(f.t, full, cluster.WaitTimeout, pollInterval)
	return func() {
		cancel()
		wg.Wait()
		f.injectFault(f.registry, noFault)
	}
}

// idle reports whether the registry runs nothing.
func (f *fixture) registryIdle() bool {
	for _, run := range allRuns(f.t, f.registry) {
		if run.Ended == nil {
			return false
		}
	}
	return true
}

// met returns how many requests the last fault of a stand-in met.
func (f *fixture) faultHits(standin *cluster.Process) int {
	resp, err := http.Get("http://" + standin.Address + "/admin/faults")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var counter struct{ Met int }
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&counter))
	return counter.Met
}

// claimed reports whether the log holds a claim of the key.
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

// batches returns what the claims topic holds.
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

// askUntilKnown asks again as a patient caller does, as long as it is told to.
func (f *fixture) retryUntilKnown(i int, key string) answer {
	var last answer
	require.Eventually(f.t, func() bool {
		last = f.send(i, request{key: key})
		return last.err == nil && last.resultCode != "1204" && last.resultCode != "3005" && last.resultCode != "1103"
	}, cluster.WaitTimeout, pollInterval)
	return last
}
