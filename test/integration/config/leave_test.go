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

// Bounds of the leave sessions.
const (
	// leaveBound is how long after acceptance a leaving backend server may get new work.
	leaveBound = 3 * time.Second
	// watched is how long the load goes on after the bound, and again after the failure ended.
	watched = 2 * time.Second
)

// fault makes daemon 2 fail in some way, and mend returns it.
type fault struct {
	name string
	make func(f *fleet)
	mend func(f *fleet)
}

func leaveFaults() []fault {
	heal := func(f *fleet) { require.NoError(f.t, f.network.Heal()) }
	part := func(f *fleet) { require.NoError(f.t, f.network.Partition(2)) }
	return []fault{
		{"none", func(*fleet) {}, func(*fleet) {}},
		{"cut off from the log", func(f *fleet) { f.network.LogServiceLink(2).Cut() }, heal},
		{"cut off from the peers", part, heal},
		{"cut off from both", func(f *fleet) { part(f); f.network.LogServiceLink(2).Cut() }, heal},
		{"silent links", func(f *fleet) {
			require.NoError(f.t, f.network.Blackhole(2))
			require.NoError(f.t, f.network.LogServiceLink(2).Blackhole())
		}, heal},
		{"frozen", func(f *fleet) { f.Daemons[2].Pause() }, func(f *fleet) { f.Daemons[2].Resume() }},
		{"frozen and cut off", func(f *fleet) { part(f); f.network.LogServiceLink(2).Cut(); f.Daemons[2].Pause() },
			func(f *fleet) { f.Daemons[2].Resume() }},
	}
}

func TestLeavingServerGetsNoWorkAfterTheBound(t *testing.T) {
	faults := leaveFaults()
	half := len(faults) / 2
	t.Run("first", func(t *testing.T) { leaveUnder(t, faults[:half]) })
	t.Run("second", func(t *testing.T) { leaveUnder(t, faults[half:]) })
}

func leaveUnder(t *testing.T, faults []fault) {
	f := start(t, cluster.Options{})
	engines := []*cluster.Process{}
	for range len(faults) + 1 {
		engines = append(engines, f.AddEngine("z3", 4))
	}
	f.SubmitNext()
	for i, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f.t = t
			f.leaveUnderLoad(i, engines[i], fault)
		})
		f.t = t
		require.NoError(t, f.network.Heal())
		for d := range f.Daemons {
			f.requireCall(d, whole)
		}
	}
}

// leaveUnderLoad lets the server leave while callers press on every daemon.
func (f *fleet) leaveUnderLoad(server int, engine *cluster.Process, fault fault) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range f.Daemons {
		for range 6 {
			wg.Go(func() { press(ctx, f.Daemons[i].Address) })
		}
	}
	require.Eventually(f.t, func() bool { return len(f.runsOf(engine)) > 5 }, cluster.WaitTimeout, poll)

	fault.make(f)
	f.NextTicket.Servers[server].State = ticket.ServerLeaving
	f.submitAt(0, result.ExitOK, f.NextTicket, "--wait", "accepted")
	accepted := time.Now()
	f.NextTicket.Number++
	time.Sleep(leaveBound + watched)
	fault.mend(f)
	time.Sleep(watched)
	last := time.Duration(0)
	for _, run := range f.runsOf(engine) {
		last = max(last, run.Started.Sub(accepted))
	}
	f.t.Logf("last start %v after acceptance", last)
	require.LessOrEqual(f.t, last, leaveBound, "work started after the bound")
}

// press sends requests until the context ends. What comes of them does not matter.
func press(ctx context.Context, address string) {
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
			time.Sleep(poll)
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

func TestCutOffDaemonRefusesAndReturns(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	require.NoError(t, f.network.Partition(2))
	f.network.LogServiceLink(2).Cut()
	f.requireCall(2, cutOff)
	require.True(t, f.status(2).CutOff)
	for i := range 2 {
		require.Equal(t, whole, f.call(i))
	}
	require.NoError(t, f.network.Heal())
	f.requireCall(2, whole)
}

func TestCutOffPolicyServe(t *testing.T) {
	f := start(t, cluster.Options{})
	f.AddEngine("z1", 8)
	f.NextTicket.Services[0].CutOff = ticket.CutOffServe
	f.NextTicket.Services[1].CutOff = ticket.CutOffServe
	f.AddPlainServer("z1", 2)
	f.SubmitNext()
	require.NoError(t, f.network.Partition(2))
	f.network.LogServiceLink(2).Cut()
	require.Eventually(t, func() bool { return f.status(2).CutOff }, cluster.WaitTimeout, poll)
	f.requireCall(2, whole)
	_, header, body := f.Call(2, "key-small", http.MethodPost, "/v1/services/registry/stamps", `{}`)
	require.Equal(t, cutOff, header.Get("X-Result-Code"), body)
}

// Most daemons have no link to most of the other data centre: a majority is known only by
// what the delegates pass on.
func TestMajorityAcrossDataCentres(t *testing.T) {
	f := start(t, cluster.Options{Daemons: 5, Zones: []string{"z1", "z2"}})
	f.begin()
	f.logFault(logDown)
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(poll) {
		for i := range f.Daemons {
			require.Equal(t, whole, f.call(i))
		}
	}
	require.NoError(t, f.network.Partition(1, 3)) // all of z2
	for _, i := range []int{1, 3} {
		f.requireCall(i, cutOff)
	}
	for _, i := range []int{0, 2, 4} {
		f.requireCall(i, whole)
	}
}

func TestLogDownAndPartition(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.logFault(logDown)
	require.NoError(t, f.network.Partition(2))
	f.requireCall(2, cutOff)
	for i := range 2 {
		f.requireCall(i, whole)
	}
	f.submitAt(0, result.ExitTryLater, accountTicket(2, "small", 2))
	f.logFault(logUp)
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "accepted")
	require.NoError(t, f.network.Heal())
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
		f.requireCall(i, whole)
	}
}
