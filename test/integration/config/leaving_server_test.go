package config

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// Times of the tests with leaving backend servers.
const (
	// maxStartAfterLeave is the time after acceptance of the ticket in which a leaving backend
	// server may still get new work.
	maxStartAfterLeave = 3 * time.Second
	// observationTime is how long the load goes on after that bound, and again after the
	// fault has ended.
	observationTime = 2 * time.Second
)

// daemonFault is a fault of daemon 2: apply starts it, and undo ends it.
type daemonFault struct {
	name  string
	apply func(f *fleet)
	undo  func(f *fleet)
}

func daemonFaults() []daemonFault {
	heal := func(f *fleet) { require.NoError(f.t, f.network.Heal()) }
	partition := func(f *fleet) { require.NoError(f.t, f.network.Partition(2)) }
	return []daemonFault{
		{"none", func(*fleet) {}, func(*fleet) {}},
		{"cut off from the log", func(f *fleet) { f.network.LogServiceLink(2).Cut() }, heal},
		{"cut off from the peers", partition, heal},
		{"cut off from both", func(f *fleet) { partition(f); f.network.LogServiceLink(2).Cut() }, heal},
		{"silent links", func(f *fleet) {
			require.NoError(f.t, f.network.Blackhole(2))
			require.NoError(f.t, f.network.LogServiceLink(2).Blackhole())
		}, heal},
		{"frozen", func(f *fleet) { f.Daemons[2].Pause() }, func(f *fleet) { f.Daemons[2].Resume() }},
		{"frozen and cut off", func(f *fleet) { partition(f); f.network.LogServiceLink(2).Cut(); f.Daemons[2].Pause() },
			func(f *fleet) { f.Daemons[2].Resume() }},
	}
}

func TestLeavingServerGetsNoWorkAfterBound(t *testing.T) {
	faults := daemonFaults()
	half := len(faults) / 2
	t.Run("first", func(t *testing.T) { testLeavingServerUnderFaults(t, faults[:half]) })
	t.Run("second", func(t *testing.T) { testLeavingServerUnderFaults(t, faults[half:]) })
}

func testLeavingServerUnderFaults(t *testing.T, faults []daemonFault) {
	f := startFleet(t, cluster.Options{})
	engines := []*cluster.Process{}
	for range len(faults) + 1 {
		engines = append(engines, f.AddEngine("z3", 4))
	}
	f.SubmitNext()
	for i, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f.t = t
			f.requireNoLateStarts(i, engines[i], fault)
		})
		f.t = t
		require.NoError(t, f.network.Heal())
		for d := range f.Daemons {
			f.requireResultCode(d, success)
		}
	}
}

// requireNoLateStarts lets the server leave during the fault while every daemon is under
// load, and requires that no run starts on its engine after the bound.
func (f *fleet) requireNoLateStarts(server int, engine *cluster.Process, fault daemonFault) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range f.Daemons {
		for range 6 {
			wg.Go(func() { sendRequests(ctx, f.Daemons[i].Address) })
		}
	}
	require.Eventually(f.t, func() bool { return len(f.runsOf(engine)) > 5 }, cluster.WaitTimeout, pollInterval)

	fault.apply(f)
	f.NextTicket.Servers[server].State = ticket.ServerLeaving
	f.submitAt(0, result.ExitOK, f.NextTicket, "--wait", "accepted")
	accepted := time.Now()
	f.NextTicket.Number++
	time.Sleep(maxStartAfterLeave + observationTime)
	fault.undo(f)
	time.Sleep(observationTime)
	lastStart := time.Duration(0)
	for _, run := range f.runsOf(engine) {
		lastStart = max(lastStart, run.Started.Sub(accepted))
	}
	f.t.Logf("last start %v after acceptance", lastStart)
	require.LessOrEqual(f.t, lastStart, maxStartAfterLeave, "work started after the bound")
}

// sendRequests sends requests until the context ends, and ignores their results.
func sendRequests(ctx context.Context, address string) {
	client := &http.Client{Timeout: cluster.WaitTimeout}
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(chatBody))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer key-small")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			time.Sleep(pollInterval)
		}
	}
}

func (f *fleet) runsOf(engine *cluster.Process) []runs.Run {
	f.t.Helper()
	resp, err := http.Get("http://" + engine.Address + "/admin/runs")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var list []runs.Run
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&list))
	return list
}

func TestCutOffDaemonRefusesUntilReconnected(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	require.NoError(t, f.network.Partition(2))
	f.network.LogServiceLink(2).Cut()
	f.requireResultCode(2, cutOff)
	require.True(t, f.status(2).CutOff)
	for i := range 2 {
		require.Equal(t, success, f.requestResultCode(i))
	}
	require.NoError(t, f.network.Heal())
	f.requireResultCode(2, success)
}

func TestCutOffPolicyServe(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.AddEngine("z1", 8)
	f.NextTicket.Services[0].CutOff = ticket.CutOffServe
	f.NextTicket.Services[1].CutOff = ticket.CutOffServe
	f.AddPlainServer("z1", 2)
	f.SubmitNext()
	require.NoError(t, f.network.Partition(2))
	f.network.LogServiceLink(2).Cut()
	require.Eventually(t, func() bool { return f.status(2).CutOff }, cluster.WaitTimeout, pollInterval)
	f.requireResultCode(2, success)
	_, header, body := f.Call(2, "key-small", http.MethodPost, "/v1/services/registry/stamps", `{}`)
	require.Equal(t, cutOff, header.Get("X-Result-Code"), body)
}

// Most daemons have no link to most daemons of the other data centre, so they can confirm a
// majority only through the reports that the delegates relay.
func TestMajorityAcrossDataCentres(t *testing.T) {
	f := startFleet(t, cluster.Options{Daemons: 5, Zones: []string{"z1", "z2"}})
	f.addEngineAndSubmit()
	f.setLogFault(logDown)
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(pollInterval) {
		for i := range f.Daemons {
			require.Equal(t, success, f.requestResultCode(i))
		}
	}
	require.NoError(t, f.network.Partition(1, 3)) // all of z2
	for _, i := range []int{1, 3} {
		f.requireResultCode(i, cutOff)
	}
	for _, i := range []int{0, 2, 4} {
		f.requireResultCode(i, success)
	}
}

func TestLogDownAndPartition(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.setLogFault(logDown)
	require.NoError(t, f.network.Partition(2))
	f.requireResultCode(2, cutOff)
	for i := range 2 {
		f.requireResultCode(i, success)
	}
	f.submitAt(0, result.ExitTryLater, accountTicket(2, "small", 2))
	f.setLogFault(logRecovered)
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "accepted")
	require.NoError(t, f.network.Heal())
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
		f.requireResultCode(i, success)
	}
}
