// Package effects tests that requests with side effects, which must not run twice, run at most
// once when daemons, servers or the log service fail.
package effects

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

const (
	stampsPath    = "/v1/services/registry/stamps"
	claimsTopic   = "filbertrill-claims"
	claimAppends  = `"only":"append","topic":"` + claimsTopic + `"`
	registrySlots = 4
	noFault       = `{"mode":"none"}`
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// fixture is a fleet with one server of the service "registry", which issues numbered stamps.
type fixture struct {
	*cluster.Fleet
	t        testing.TB
	registry *cluster.Process
}

// serviceLimits holds the limits of the service and its backend server.
type serviceLimits struct {
	slots     int
	deadline  time.Duration
	idleLimit time.Duration
}

var defaultLimits = serviceLimits{slots: registrySlots, deadline: 4 * time.Second, idleLimit: 2 * time.Second}

func newFixture(t testing.TB, limits serviceLimits, serverArgs ...string) *fixture {
	fleet := cluster.StartFleet(t, cluster.Options{})
	f := &fixture{Fleet: fleet, t: t}
	f.registry = fleet.AddPlainServer("z1", limits.slots, serverArgs...)
	fleet.NextTicket.Services[1].Deadline = ticket.Duration(limits.deadline)
	fleet.NextTicket.Services[1].IdleLimit = ticket.Duration(limits.idleLimit)
	fleet.SubmitNext()
	return f
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// setFault replaces the active fault of a stand-in.
func (f *fixture) setFault(standin *cluster.Process, spec string) {
	require.NoError(f.t, cluster.PostJSON("http://"+standin.Address+"/admin/faults", spec))
}

// runsForKey returns the runs with a key that the registry recorded.
func (f *fixture) runsForKey(key string) []runs.Run {
	return runsForKey(f.t, f.registry, key)
}

func runsForKey(t testing.TB, server *cluster.Process, key string) []runs.Run {
	var found []runs.Run
	for _, run := range listRuns(t, server) {
		if run.Key == key {
			found = append(found, run)
		}
	}
	return found
}

func listRuns(t testing.TB, server *cluster.Process) []runs.Run {
	resp, err := http.Get("http://" + server.Address + "/admin/runs")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var all []runs.Run
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all
}

// answer is a response as the caller sees it.
type answer struct {
	err        error // no complete HTTP response
	status     int
	resultCode string
	outcome    string
	replayed   bool
	entry      string
	body       string
}

// String formats the answer as the table in docs/design/effects.md does.
func (a answer) String() string {
	if a.err != nil {
		return "connection lost"
	}
	if a.resultCode != "" {
		return a.resultCode + " " + a.outcome
	}
	if a.replayed {
		return fmt.Sprint(a.status, " replayed")
	}
	return fmt.Sprint(a.status)
}

// request describes a request for a stamp.
type request struct {
	key          string
	body         string
	firstAttempt bool
}

// postStamp requests a stamp from an address, on a new connection.
func postStamp(ctx context.Context, address string, r request) answer {
	if r.body == "" {
		r.body = `{"lot":1}`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+stampsPath, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return answer{err: err}
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer key-small")
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.firstAttempt {
		req.Header.Set("X-First-Attempt", "true")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		err:        err,
		status:     resp.StatusCode,
		resultCode: resp.Header.Get("X-Result-Code"),
		outcome:    resp.Header.Get("X-Outcome"),
		replayed:   resp.Header.Get("X-Replayed") == "true",
		entry:      resp.Header.Get("X-Entry"),
		body:       string(bytes.TrimSpace(body)),
	}
}

// send requests a stamp from daemon i and waits for the answer.
func (f *fixture) send(i int, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), cluster.WaitTimeout)
	defer cancel()
	return postStamp(ctx, f.Daemons[i].Address, r)
}

// sendAsync requests a stamp from daemon i and returns a channel for the answer.
func (f *fixture) sendAsync(i int, r request) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- f.send(i, r) }()
	return done
}

// restartDaemon replaces the exited daemon i and waits until all daemons are ready.
func (f *fixture) restartDaemon(i int) {
	_, err := f.StartDaemon(i)
	require.NoError(f.t, err)
	require.NoError(f.t, f.AwaitReady(cluster.WaitTimeout))
}

func (f *fixture) issueKey(i int) string {
	status, _, body := f.Call(i, "key-small", http.MethodGet, "/v1/keys", "")
	require.Equal(f.t, http.StatusOK, status, body)
	var list struct{ Keys []string }
	require.NoError(f.t, json.Unmarshal([]byte(body), &list))
	return list.Keys[0]
}
