package config

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

func TestDaemonWithoutTheLogHearsOfTickets(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.network.LogServiceLink(2).Cut()
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	require.EqualValues(t, 2, f.weight(2, "small"))
	require.Equal(t, whole, f.call(2))
}

func TestColdDaemonWhileTheLogIsDown(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	f.logFault(logDown)
	f.Daemons[2].Kill()
	_, err := f.StartDaemon(2)
	require.NoError(t, err)
	f.requireWeight(2, "small", 2)
	f.requireCall(2, whole)
}

func TestWholeFleetColdWhileTheLogIsDown(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.logFault(logDown)
	f.restartAll()
	for i := range f.Daemons {
		f.requireCall(i, noConfiguration)
	}
	f.logFault(logUp)
	for i := range f.Daemons {
		f.requireCall(i, whole)
	}
}

// restartAll kills every daemon before it starts the first again.
func (f *fleet) restartAll() {
	f.t.Helper()
	for _, d := range f.Daemons {
		d.Kill()
	}
	for i := range f.Daemons {
		_, err := f.StartDaemon(i)
		require.NoError(f.t, err)
	}
}

// A daemon whose memory is lost does not count for what a majority has. With one of three
// members cut off, the restarted one could else form a majority with a daemon that missed a ticket.
func TestRestartedDaemonIsNoWitness(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	require.NoError(t, f.network.Partition(2))
	f.network.LogServiceLink(2).Cut()
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "accepted")
	f.logFault(logDown)
	f.Daemons[0].Pause()
	defer f.Daemons[0].Resume()
	f.Daemons[1].Kill()
	_, err := f.StartDaemon(1)
	require.NoError(t, err)
	f.network.LogServiceLink(2).Cut()
	for _, pair := range [][2]int{{1, 2}, {2, 1}} {
		require.NoError(t, f.network.PeerLink(pair[0], pair[1]).Heal())
	}
	f.requireCall(2, cutOff)
	f.requireCall(1, noConfiguration)
	f.Daemons[0].Resume()
	require.NoError(t, f.network.Heal())
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
		f.requireCall(i, whole)
	}
}

func TestRetentionKeepsTheState(t *testing.T) {
	f := start(t, cluster.Options{LogServiceArgs: []string{"--max-records", "20"}})
	f.begin()
	for number := uint64(2); number <= 40; number++ {
		f.submitAt(0, result.ExitOK, accountTicket(number, "small", float64(number)), "--wait", "valid")
		if number%8 == 0 {
			// The owner looks once a second whether the state has to be recorded.
			f.requireStateRecorded()
		}
	}
	f.restartAll()
	for i := range f.Daemons {
		f.requireWeight(i, "small", 40)
		f.requireCall(i, whole)
	}
}

// requireStateRecorded waits until a record of the state is among the newer half of the log.
func (f *fleet) requireStateRecorded() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		bounds := f.get("/topics/filbertrill-config/partitions/0/offsets")
		var b struct {
			First int64 `json:"beginning_offset"`
			Next  int64 `json:"end_offset"`
		}
		require.NoError(f.t, json.Unmarshal([]byte(bounds), &b))
		if b.First == 0 {
			return true
		}
		for _, value := range f.records(b.First) {
			if s, ok := ticket.DecodeStateRecord(value); ok && s.AppliedOffset >= (b.First+b.Next)/2-2 {
				return true
			}
		}
		return false
	}, cluster.WaitTimeout, poll)
}

func (f *fleet) records(offset int64) (values [][]byte) {
	f.t.Helper()
	body := f.get("/topics/filbertrill-config/partitions/0/messages?count=1000&offset=" + strconv.FormatInt(offset, 10))
	var records []struct{ Value []byte }
	require.NoError(f.t, json.Unmarshal([]byte(body), &records), body)
	for _, r := range records {
		values = append(values, r.Value)
	}
	return values
}

// tickets is the number of records of tickets in the log.
func (f *fleet) tickets() int {
	f.t.Helper()
	count := 0
	for _, value := range f.records(0) {
		if _, ok := ticket.DecodeStateRecord(value); !ok {
			count++
		}
	}
	return count
}

func (f *fleet) get(path string) string {
	f.t.Helper()
	resp, err := http.Get("http://" + f.LogService.Address + path)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	buffer := make([]byte, 1<<16)
	for {
		n, err := resp.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			return text.String()
		}
	}
}

func TestLostAnswersOfAppends(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.logFault(logLoses)
	cleared := make(chan struct{})
	go func() {
		defer close(cleared)
		time.Sleep(1500 * time.Millisecond)
		_ = cluster.PostJSON("http://"+f.LogService.Address+"/admin/faults", logUp)
	}()
	out := f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	<-cleared
	require.Contains(t, out, "in-force")
	before := f.tickets()
	require.Greater(t, before, 1, "the appends of the first try took effect")
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
	}
	out = f.submitAt(1, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	require.Contains(t, out, "in-force")
	require.Equal(t, before, f.tickets(), "a known ticket is not appended again")
}

func TestLogDownRefusesTicketsAndServes(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.logFault(logDown)
	out := f.submitAt(0, result.ExitTryLater, accountTicket(2, "small", 2))
	require.Contains(t, out, "4006 log_unavailable")
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(poll) {
		for i := range f.Daemons {
			require.Equal(t, whole, f.call(i))
		}
	}
	require.Equal(t, "majority", f.status(0).KnownBy)
	f.logFault(logUp)
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
}

func TestLostAppendDuringLongOutageIsUnknown(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	f.logFault(logLoses)
	out := f.submitAt(0, result.ExitUnknown, accountTicket(2, "small", 2), "--timeout", "3s")
	require.Contains(t, out, "4005 append_outcome_unknown")
	f.logFault(logUp)
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
	}
}

func TestFlappingAndSlowLog(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	number := uint64(2)
	for _, fault := range []string{logFlaps, logSlow} {
		f.logFault(fault)
		for range 3 {
			f.submitAt(int(number%3), result.ExitOK, accountTicket(number, "small", float64(number)), "--wait", "in-force")
			number++
		}
		for i := range f.Daemons {
			require.Equal(t, whole, f.call(i))
		}
	}
}

func TestRaceOfOperators(t *testing.T) {
	f := start(t, cluster.Options{})
	f.begin()
	for number := uint64(2); number < 7; number++ {
		outs := make([]string, 3)
		exits := make([]int, 3)
		var wg sync.WaitGroup
		for i := range f.Daemons {
			wg.Go(func() {
				out, err := f.SubmitAt(i, accountTicket(number, "small", float64(10*number)+float64(i)))
				outs[i], exits[i] = out, exitCode(err)
			})
		}
		wg.Wait()
		winner := -1
		for i, exit := range exits {
			if exit == result.ExitOK {
				require.Equal(t, -1, winner, "two were told that they won: %v", outs)
				winner = i
				continue
			}
			require.Equal(t, result.ExitNotRun, exit, outs[i])
			require.Contains(t, outs[i], "4003 ticket_number_conflict")
		}
		require.NotEqual(t, -1, winner, "none won: %v", outs)
		for i := range f.Daemons {
			f.requireWeight(i, "small", float64(10*number)+float64(winner))
		}
	}
}
