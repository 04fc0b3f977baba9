package cluster

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

// WaitTimeout bounds each wait in tests. Normal waits are far shorter.
const WaitTimeout = 30 * time.Second

var binDir string

// Main builds the programs and runs the tests of a package, for use in TestMain. It returns
// the exit code.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "filbertrill-bin-*")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := Build(moduleRoot(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// Fleet is a cluster under test with the accounts "small" and "large", whose API keys are
// "key-small" and "key-large".
type Fleet struct {
	*Cluster
	NextTicket ticket.Ticket // submitted by the next call of SubmitNext
	t          testing.TB
}

// StartFleet starts a fleet, by default of three daemons in three zones, and prepares a first
// ticket with the services "drafter" (a model) and "registry" (plain, not repeatable).
// The fleet is stopped at the end of the test.
func StartFleet(t testing.TB, opts Options) *Fleet {
	t.Helper()
	opts.BinDir = binDir
	if opts.LogOutput == nil {
		opts.LogOutput = newTestLog(t)
	}
	if opts.Zones == nil {
		opts.Zones = []string{"z1", "z2", "z3"}
	}
	if opts.Daemons == 0 {
		opts.Daemons = 3
	}
	c, err := New(opts)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	f := &Fleet{Cluster: c, t: t}
	f.NextTicket = ticket.Ticket{Number: 1, Author: "test", Reason: "first"}
	f.NextTicket.Accounts = []ticket.Account{
		{ID: "small", Weight: 1, KeyHashes: []string{KeyHash("key-small")}},
		{ID: "large", Weight: 1, KeyHashes: []string{KeyHash("key-large")}},
	}
	f.NextTicket.Services = []ticket.Service{
		{ID: "drafter", Kind: ticket.ServiceModel, Repeatable: true},
		{ID: "registry", Kind: ticket.ServicePlain},
	}
	return f
}

// newTestLog returns a writer for the logs of the processes, which are printed if the test fails.
func newTestLog(t testing.TB) io.Writer {
	f, err := os.CreateTemp(t.TempDir(), "log-*")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			data, _ := os.ReadFile(f.Name())
			t.Logf("logs of the processes:\n%s", data)
		}
		_ = f.Close()
	})
	return f
}

// AddEngine starts an engine in a zone and adds it to NextTicket.
func (f *Fleet) AddEngine(zone string, slots int, args ...string) *Process {
	f.t.Helper()
	id := fmt.Sprintf("engine-%d", len(f.NextTicket.Servers)+1)
	args = append([]string{"--model", "drafter", "--slots", fmt.Sprint(slots)}, args...)
	p, err := f.StartServer(id, "engine", args...)
	require.NoError(f.t, err)
	f.addServer(id, "drafter", p.Address, zone, slots)
	return p
}

// AddPlainServer starts a plain server in a zone and adds it to NextTicket.
func (f *Fleet) AddPlainServer(zone string, slots int, args ...string) *Process {
	f.t.Helper()
	id := fmt.Sprintf("plain-%d", len(f.NextTicket.Servers)+1)
	p, err := f.StartServer(id, "plain", args...)
	require.NoError(f.t, err)
	f.addServer(id, "registry", p.Address, zone, slots)
	return p
}

func (f *Fleet) addServer(id, service, address, zone string, slots int) {
	f.NextTicket.Servers = append(f.NextTicket.Servers, ticket.Server{
		ID: id, Service: service, Address: address, Zone: zone, Slots: slots, State: ticket.ServerJoined,
	})
}

// SubmitNext submits NextTicket, waits until every daemon is ready and increments the number of
// NextTicket.
func (f *Fleet) SubmitNext() {
	f.t.Helper()
	out, err := f.Submit(f.NextTicket)
	require.NoError(f.t, err, out)
	require.NoError(f.t, f.AwaitReady(WaitTimeout))
	f.NextTicket.Number++
}

// Call sends a request to daemon i and returns the status, headers and body.
func (f *Fleet) Call(i int, key, method, path, body string) (int, http.Header, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+f.Daemons[i].Address+path, strings.NewReader(body))
	require.NoError(f.t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, resp.Header, string(data)
}

// moduleRoot returns the closest parent of the working directory that contains go.mod.
func moduleRoot() string {
	dir, _ := filepath.Abs(".")
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		dir = filepath.Dir(dir)
	}
}
