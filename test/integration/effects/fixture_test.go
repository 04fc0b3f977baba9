// Package effects holds sessions in which unrepeatable requests meet failures.
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
	stamps      = "/v1/services/registry/stamps"
	claimsTopic = "filbertrill-claims"
	appends     = `"only":"append","topic":"` + claimsTopic + `"`
	slots       = 4 // of the registry
	noFault     = `{"mode":"none"}`
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// session is a fleet with one serial registry.
type session struct {
	*cluster.Fleet
	t        testing.TB
	registry *cluster.Process
}

// limits are those of the service and its backend server.
type limits struct {
	slots    int
	deadline time.Duration
	idle     time.Duration
}

var usual = limits{slots: slots, deadline: 4 * time.Second, idle: 2 * time.Second}

func start(t testing.TB, l limits, serverArgs ...string) *session {
	f := cluster.StartFleet(t, cluster.Options{})
	s := &session{Fleet: f, t: t}
	s.registry = f.AddPlainServer("z1", l.slots, serverArgs...)
	f.NextTicket.Services[1].Deadline = ticket.Duration(l.deadline)
	f.NextTicket.Services[1].IdleLimit = ticket.Duration(l.idle)
	f.SubmitNext()
	return s
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// fault puts a fault in force at a stand-in.
func (s *session) fault(at *cluster.Process, fault string) {
	require.NoError(s.t, cluster.PostJSON("http://"+at.Address+"/admin/faults", fault))
}

// runs returns the runs of a key that the registry counted.
func (s *session) runs(key string) []runs.Run {
	return runsOf(s.t, s.registry, key)
}

func runsOf(t testing.TB, server *cluster.Process, key string) []runs.Run {
	var found []runs.Run
	for _, run := range allRuns(t, server) {
		if run.Key == key {
			found = append(found, run)
		}
	}
	return found
}

func allRuns(t testing.TB, server *cluster.Process) []runs.Run {
	resp, err := http.Get("http://" + server.Address + "/admin/runs")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var all []runs.Run
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all
}

// answer is what a caller heard.
type answer struct {
	err      error // no HTTP answer
	status   int
	code     string
	outcome  string
	replayed bool
	entry    string
	body     string
}

// String tells the answer as the table in the docs does.
func (a answer) String() string {
	if a.err != nil {
		return "connection lost"
	}
	if a.code != "" {
		return a.code + " " + a.outcome
	}
	if a.replayed {
		return fmt.Sprint(a.status, " replayed")
	}
	return fmt.Sprint(a.status)
}

// request describes a stamp that a caller asks for.
type request struct {
	key   string
	body  string
	first bool
}

// post asks an address for a stamp. Each request has a connection of its own.
func post(ctx context.Context, address string, r request) answer {
	if r.body == "" {
		r.body = `{"lot":1}`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+stamps, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return answer{err: err}
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer key-small")
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.first {
		req.Header.Set("X-First-Attempt", "true")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		err:      err,
		status:   resp.StatusCode,
		code:     resp.Header.Get("X-Result-Code"),
		outcome:  resp.Header.Get("X-Outcome"),
		replayed: resp.Header.Get("X-Replayed") == "true",
		entry:    resp.Header.Get("X-Entry"),
		body:     string(bytes.TrimSpace(body)),
	}
}

// ask asks daemon i for a stamp.
func (s *session) ask(i int, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), cluster.WaitTimeout)
	defer cancel()
	return post(ctx, s.Daemons[i].Address, r)
}

// begin asks daemon i and does not wait for the answer.
func (s *session) begin(i int, r request) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- s.ask(i, r) }()
	return done
}

// restart replaces daemon i.
func (s *session) restart(i int) {
	_, err := s.StartDaemon(i)
	require.NoError(s.t, err)
	require.NoError(s.t, s.AwaitReady(cluster.WaitTimeout))
}

func (s *session) issueKey(i int) string {
	status, _, body := s.Call(i, "key-small", http.MethodGet, "/v1/keys", "")
	require.Equal(s.t, http.StatusOK, status, body)
	var list struct{ Keys []string }
	require.NoError(s.t, json.Unmarshal([]byte(body), &list))
	return list.Keys[0]
}
