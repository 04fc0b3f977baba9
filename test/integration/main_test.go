// Package integration holds sessions of real processes: daemons, stand-ins and callers.
package integration

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
	"github.com/filbertrill/filbertrill/test/cluster"
)

// patience bounds each wait for something that takes far less.
const patience = 30 * time.Second

var binFolder string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "filbertrill-bin-*")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := cluster.Build(filepath.Join("..", ".."), folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binFolder = folder
	return m.Run()
}

// fleet is a running fleet with the accounts "small" and "large", whose keys are
// "key-small" and "key-large".
type fleet struct {
	*cluster.Cluster
	t      *testing.T
	ticket ticket.Ticket
}

func startFleet(t *testing.T, opts cluster.Options) *fleet {
	t.Helper()
	opts.Bin = binFolder
	if opts.Logs == nil {
		opts.Logs = newTestLog(t)
	}
	if opts.Zones == nil {
		opts.Zones = []string{"z1", "z2", "z3"}
	}
	if opts.Daemons == 0 {
		opts.Daemons = 3
	}
	c, err := cluster.New(opts)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	f := &fleet{Cluster: c, t: t}
	f.ticket = ticket.Ticket{Number: 1, Author: "test", Reason: "first"}
	f.ticket.Accounts = []ticket.Account{
		{ID: "small", Weight: 1, KeyHashes: []string{cluster.KeyHash("key-small")}},
		{ID: "large", Weight: 1, KeyHashes: []string{cluster.KeyHash("key-large")}},
	}
	f.ticket.Services = []ticket.Service{
		{ID: "drafter", Kind: ticket.ServiceModel, Repeatable: true},
		{ID: "registry", Kind: ticket.ServicePlain},
	}
	return f
}

// newTestLog collects the processes' logs and shows them when the test fails.
func newTestLog(t *testing.T) io.Writer {
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

// addEngine starts an engine in a zone and adds it to the ticket.
func (f *fleet) addEngine(zone string, slots int, args ...string) *cluster.Process {
	f.t.Helper()
	id := fmt.Sprintf("engine-%d", len(f.ticket.Servers)+1)
	args = append([]string{"--model", "drafter", "--slots", fmt.Sprint(slots)}, args...)
	p, err := f.StartServer(id, "engine", args...)
	require.NoError(f.t, err)
	f.addServer(id, "drafter", p.Address, zone, slots)
	return p
}

// addPlain starts a plain server in a zone and adds it to the ticket.
func (f *fleet) addPlain(zone string, slots int, args ...string) *cluster.Process {
	f.t.Helper()
	id := fmt.Sprintf("plain-%d", len(f.ticket.Servers)+1)
	p, err := f.StartServer(id, "plain", args...)
	require.NoError(f.t, err)
	f.addServer(id, "registry", p.Address, zone, slots)
	return p
}

func (f *fleet) addServer(id, service, address, zone string, slots int) {
	f.ticket.Servers = append(f.ticket.Servers, ticket.Server{
		ID: id, Service: service, Address: address, Zone: zone, Slots: slots, State: ticket.ServerJoined,
	})
}

// submit hands in the ticket, waits until the fleet is ready, and starts the next one.
func (f *fleet) submit() {
	f.t.Helper()
	out, err := f.Submit(f.ticket)
	require.NoError(f.t, err, out)
	require.NoError(f.t, f.AwaitReady(patience))
	f.ticket.Number++
}

// call sends a request to daemon i and returns the status, headers and body.
func (f *fleet) call(i int, key, method, path, body string) (int, http.Header, string) {
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
