// Package dispatch tests fair sharing between accounts while dispatchers, zones and backend
// servers fail.
package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/load"
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// A call takes about 100 ms: answerTokens tokens, one per tokenInterval.
const (
	answerTokens  = 20
	tokenInterval = "5ms"
	pollInterval  = 50 * time.Millisecond
)

// callerPool sends calls concurrently, one after the other per caller, until stopped or until
// the test ends.
type callerPool struct {
	mu              sync.Mutex
	answeredCount   int
	refusals        map[string]int // by result code
	errs            []error
	firstTokenWaits []time.Duration // from sending to the first token
	cancel          context.CancelFunc
	done            sync.WaitGroup
}

// startCallers starts n callers of an account at the daemon with the given index.
func startCallers(f *cluster.Fleet, t *testing.T, account string, daemon, n int) *callerPool {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callerPool{refusals: map[string]int{}, cancel: cancel}
	call := newCall(f, account, daemon)
	client := load.NewClient()
	for range n {
		c.done.Go(func() {
			for ctx.Err() == nil {
				c.record(ctx, call.Do(ctx, client))
			}
		})
	}
	t.Cleanup(c.stop)
	return c
}

func newCall(f *cluster.Fleet, account string, daemon int) load.Call {
	return load.Call{
		Account:      account,
		APIKey:       "key-" + account,
		Address:      f.Daemons[daemon].Address,
		Model:        "drafter",
		PromptWords:  10,
		AnswerTokens: answerTokens,
		MaxTokens:    answerTokens,
	}
}

// record counts the outcome of a call. After a refusal or an error it waits, so that the caller
// retries at intervals.
func (c *callerPool) record(ctx context.Context, outcome *load.Outcome) {
	if !c.count(ctx, outcome) {
		time.Sleep(pollInterval) // without the lock, or all callers together would retry once per interval
	}
}

// count counts the outcome of a call. It reports whether the call was answered or canceled.
func (c *callerPool) count(ctx context.Context, outcome *load.Outcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case outcome.Completed():
		c.answeredCount++
		c.firstTokenWaits = append(c.firstTokenWaits, outcome.TokenTimes[0].Sub(outcome.SentAt))
		return true
	case ctx.Err() != nil:
		return true
	case outcome.ResultCode != "":
		c.refusals[outcome.ResultCode]++
	default:
		c.errs = append(c.errs, outcome.Err)
	}
	return false
}

func (c *callerPool) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *callerPool) answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredCount
}

// waitForAnswers waits until n further calls are answered completely.
func (c *callerPool) waitForAnswers(t *testing.T, n int) {
	t.Helper()
	target := c.answered() + n
	require.Eventually(t, func() bool { return c.answered() >= target }, 2*cluster.WaitTimeout, pollInterval)
}

// requireNoFailures requires that every call so far was answered completely.
func (c *callerPool) requireNoFailures(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, c.errs)
	require.Empty(t, c.refusals)
}

// engineRequests returns the number of running and waiting requests at an engine.
func engineRequests(t *testing.T, engine *cluster.Process) int {
	t.Helper()
	var load struct{ Running, Waiting int }
	getJSON(t, "http://"+engine.Address+"/load", &load)
	return load.Running + load.Waiting
}

// engineRuns returns the number of runs that an engine has started since it was started.
func engineRuns(t *testing.T, engine *cluster.Process) int {
	t.Helper()
	var runs []json.RawMessage
	getJSON(t, "http://"+engine.Address+"/admin/runs", &runs)
	return len(runs)
}

func getJSON(t *testing.T, url string, value any) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(value))
}

// dispatcherOf returns the index of the daemon that is the dispatcher of the service "drafter"
// in a zone, among the daemons with the given indexes, or -1 when none is.
func dispatcherOf(f *cluster.Fleet, zone string, daemons ...int) int {
	var members []*pb.Member
	for _, i := range daemons {
		members = append(members, &pb.Member{Id: f.Daemons[i].Name, State: pb.MemberState_MEMBER_STATE_LIVE})
	}
	dispatcher := member.Owner("drafter/"+zone, members).Id
	for _, i := range daemons {
		if f.Daemons[i].Name == dispatcher {
			return i
		}
	}
	return -1
}
