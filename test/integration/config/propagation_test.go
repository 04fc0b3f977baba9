package config

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

func TestDaemonWithoutLogGetsTicketsFromPeers(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.network.LogServiceLink(2).Cut()
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	require.EqualValues(t, 2, f.weight(2, "small"))
	require.Equal(t, success, f.requestResultCode(2))
}

func TestRestartedDaemonWhileLogIsDown(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	f.setLogFault(logDown)
	f.Daemons[2].Kill()
	_, err := f.StartDaemon(2)
	require.NoError(t, err)
	f.requireWeight(2, "small", 2)
	f.requireResultCode(2, success)
}

func TestRestartedFleetWhileLogIsDown(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.setLogFault(logDown)
	f.restartAll()
	for i := range f.Daemons {
		f.requireResultCode(i, noConfiguration)
	}
	f.setLogFault(logRecovered)
	for i := range f.Daemons {
		f.requireResultCode(i, success)
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

// A daemon that has lost its state in a restart must not count towards a majority. Otherwise,
// with one of three daemons frozen, it forms a majority with a daemon that missed a ticket.
func TestRestartedDaemonDoesNotCountTowardsMajority(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	require.NoError(t, f.network.Partition(2))
	f.network.LogServiceLink(2).Cut()
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "accepted")
	f.setLogFault(logDown)
	f.Daemons[0].Pause()
	defer f.Daemons[0].Resume()
	f.Daemons[1].Kill()
	_, err := f.StartDaemon(1)
	require.NoError(t, err)
	f.network.LogServiceLink(2).Cut()
	for _, pair := range [][2]int{{1, 2}, {2, 1}} {
		require.NoError(t, f.network.PeerLink(pair[0], pair[1]).Heal())
	}
	f.requireResultCode(2, cutOff)
	f.requireResultCode(1, noConfiguration)
	f.Daemons[0].Resume()
	require.NoError(t, f.network.Heal())
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
		f.requireResultCode(i, success)
	}
}

func TestStateSurvivesLogRetention(t *testing.T) {
	f := startFleet(t, cluster.Options{LogServiceArgs: []string{"--max-records", "20"}})
	f.addEngineAndSubmit()
	for number := uint64(2); number <= 40; number++ {
		f.submitAt(0, result.ExitOK, accountTicket(number, "small", float64(number)), "--wait", "valid")
		if number%8 == 0 {
			// The owner of state records checks once a second whether one is due.
			f.requireRecentStateRecord()
		}
	}
	f.restartAll()
	for i := range f.Daemons {
		f.requireWeight(i, "small", 40)
		f.requireResultCode(i, success)
	}
}

// requireRecentStateRecord waits until the log has a state record whose base is in the newer
// half of the log.
func (f *fleet) requireRecentStateRecord() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		bounds := f.getFromLog("/topics/filbertrill-config/partitions/0/offsets")
		var b struct {
			First int64 `json:"beginning_offset"`
			Next  int64 `json:"end_offset"`
		}
		require.NoError(f.t, json.Unmarshal([]byte(bounds), &b))
		if b.First == 0 {
			return true
		}
		values, err := f.readLogRecords(b.First)
		if err != nil {
			return false // the log has dropped the first record since
		}
		return slices.ContainsFunc(values, func(value []byte) bool {
			s, ok := ticket.DecodeStateRecord(value)
			return ok && s.AppliedOffset >= (b.First+b.Next)/2-2
		})
	}, cluster.WaitTimeout, pollInterval)
}

func (f *fleet) logRecords(offset int64) [][]byte {
	f.t.Helper()
	values, err := f.readLogRecords(offset)
	require.NoError(f.t, err)
	return values
}

// readLogRecords returns the records from the offset on. It returns an error if the log does not
// retain the record at the offset.
func (f *fleet) readLogRecords(offset int64) (values [][]byte, err error) {
	f.t.Helper()
	body := f.getFromLog("/topics/filbertrill-config/partitions/0/messages?count=1000&offset=" + strconv.FormatInt(offset, 10))
	var records []struct{ Value []byte }
	if err := json.Unmarshal([]byte(body), &records); err != nil {
		return nil, errors.Wrap(err, body)
	}
	for _, r := range records {
		values = append(values, r.Value)
	}
	return values, nil
}

// ticketRecordCount returns the number of ticket records in the log.
func (f *fleet) ticketRecordCount() int {
	f.t.Helper()
	count := 0
	for _, value := range f.logRecords(0) {
		if _, ok := ticket.DecodeStateRecord(value); !ok {
			count++
		}
	}
	return count
}

func (f *fleet) getFromLog(path string) string {
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

func TestAppendWithLostAnswerIsRetried(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.setLogFault(logLosesAnswers)
	cleared := make(chan struct{})
	go func() {
		defer close(cleared)
		time.Sleep(1500 * time.Millisecond)
		_ = cluster.PostJSON("http://"+f.LogService.Address+"/admin/faults", logRecovered)
	}()
	out := f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	<-cleared
	require.Contains(t, out, "in-force")
	appended := f.ticketRecordCount()
	require.Greater(t, appended, 1, "the appends of the first attempt took effect")
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
	}
	out = f.submitAt(1, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
	require.Contains(t, out, "in-force")
	require.Equal(t, appended, f.ticketRecordCount(), "a known ticket is not appended again")
}

func TestLogDownRefusesTicketsButServesRequests(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.setLogFault(logDown)
	out := f.submitAt(0, result.ExitTryLater, accountTicket(2, "small", 2))
	require.Contains(t, out, "4006 log_unavailable")
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(pollInterval) {
		for i := range f.Daemons {
			require.Equal(t, success, f.requestResultCode(i))
		}
	}
	require.Equal(t, "majority", f.status(0).KnownBy)
	f.setLogFault(logRecovered)
	f.submitAt(0, result.ExitOK, accountTicket(2, "small", 2), "--wait", "in-force")
}

func TestAppendWithLostAnswerUntilTimeoutIsUnknown(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	f.setLogFault(logLosesAnswers)
	out := f.submitAt(0, result.ExitUnknown, accountTicket(2, "small", 2), "--timeout", "3s")
	require.Contains(t, out, "4005 append_outcome_unknown")
	f.setLogFault(logRecovered)
	for i := range f.Daemons {
		f.requireWeight(i, "small", 2)
	}
}

func TestFlappingAndSlowLog(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
	number := uint64(2)
	for _, fault := range []string{logFlapping, logSlow} {
		f.setLogFault(fault)
		for range 3 {
			f.submitAt(int(number%3), result.ExitOK, accountTicket(number, "small", float64(number)), "--wait", "in-force")
			number++
		}
		for i := range f.Daemons {
			require.Equal(t, success, f.requestResultCode(i))
		}
	}
}

func TestConcurrentTicketsWithOneNumber(t *testing.T) {
	f := startFleet(t, cluster.Options{})
	f.addEngineAndSubmit()
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
				require.Equal(t, -1, winner, "two submissions were accepted: %v", outs)
				winner = i
				continue
			}
			require.Equal(t, result.ExitNotRun, exit, outs[i])
			require.Contains(t, outs[i], "4003 ticket_number_conflict")
		}
		require.NotEqual(t, -1, winner, "no submission was accepted: %v", outs)
		for i := range f.Daemons {
			f.requireWeight(i, "small", float64(10*number)+float64(winner))
		}
	}
}
