package claims

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/logstore"
)

const patience = 20 * time.Second

// node is a controller on a log.
type node struct {
	*Controller
	stop func()
}

func startNode(t *testing.T, name string, log logservice.Log) *node {
	c := NewController(Options{
		Log:    log,
		Table:  claim.Options{Daemon: name, Incarnation: 1, MinAppendInterval: time.Nanosecond},
		Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	n := &node{Controller: c, stop: sync.OnceFunc(func() { cancel(); <-done })}
	t.Cleanup(n.stop)
	return n
}

func startLog(t *testing.T, opts logstore.Options) (*logstore.Server, logservice.Log) {
	store := logstore.New(opts)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	log, err := logservice.NewHTTPLog(server.URL, 2*time.Second)
	require.NoError(t, err)
	return store, log
}

func newAsk(key byte) claim.Request {
	now := time.Now()
	return claim.Request{
		Attempt: claim.AttemptID(uuid.New()), Key: claim.Hash{key}, KeyCreatedAt: now,
		ClaimDeadline: now.Add(patience), WaitDeadline: now.Add(patience),
	}
}

func (n *node) claim(t *testing.T, ask claim.Request) claim.Decision {
	v, err := n.Claim(t.Context(), ask)
	require.NoError(t, err)
	return v
}

func TestOneDaemonRunsAndOthersHearItsAnswer(t *testing.T) {
	store, log := startLog(t, logstore.Options{})
	nodes := []*node{startNode(t, "d1", log), startNode(t, "d2", log), startNode(t, "d3", log)}
	store.SetFault(faults.Fault{Mode: faults.LoseAnswer, Every: 3})
	var wg sync.WaitGroup
	verdicts := make(chan claim.Decision, len(nodes))
	for _, n := range nodes {
		wg.Go(func() {
			ask := newAsk(1)
			v, err := n.Claim(context.Background(), ask)
			if err == nil && v.Kind == claim.Run {
				n.End(ask.Attempt, &claim.Outcome{Status: 201, Body: []byte("serial 7")})
			}
			verdicts <- v
		})
	}
	wg.Wait()
	close(verdicts)
	count := map[claim.DecisionKind]int{}
	for v := range verdicts {
		count[v.Kind]++
		if v.Kind == claim.Replay {
			require.Equal(t, "serial 7", string(v.Outcome.Body))
		}
	}
	require.Equal(t, map[claim.DecisionKind]int{claim.Run: 1, claim.Replay: 2}, count)
}

func TestCallerThatGoesAwayFreesItsKey(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	n := startNode(t, "d1", log)
	first := newAsk(1)
	require.Equal(t, claim.Run, n.claim(t, first).Kind)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := n.Claim(ctx, newAsk(1))
	require.ErrorIs(t, err, context.Canceled)
	n.End(first.Attempt, nil)
	require.Equal(t, claim.Run, n.claim(t, newAsk(1)).Kind)
}

func TestFlushWritesTheLastOutcomes(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	n := startNode(t, "d1", log)
	ask := newAsk(1)
	require.Equal(t, claim.Run, n.claim(t, ask).Kind)
	n.End(ask.Attempt, &claim.Outcome{Status: 200})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.True(t, n.Flush(ctx))
	n.stop()
	require.Equal(t, claim.Replay, startNode(t, "d2", log).claim(t, newAsk(1)).Kind)
}

func TestColdStartReadsTheWindowOnly(t *testing.T) {
	store, log := startLog(t, logstore.Options{})
	old, err := claim.Encode(claim.Batch{Daemon: "d0", CreatedAt: time.Now().Add(-time.Hour)})
	require.NoError(t, err)
	for range 20 {
		values := make([][]byte, 1000)
		for i := range values {
			values[i] = old
		}
		_, err := log.Append(t.Context(), DefaultTopic, values)
		require.NoError(t, err)
	}
	before := store.Topics()[DefaultTopic]
	n := startNode(t, "d1", log)
	require.Equal(t, claim.Run, n.claim(t, newAsk(1)).Kind)
	read := store.Topics()[DefaultTopic].BytesOut - before.BytesOut
	require.Less(t, read, int64(2*maxReadRecords*len(old)), "of %d records", before.Records)
}

func TestIssuedKeysNeedNoLog(t *testing.T) {
	n := startNode(t, "d1", &MemoryLog{})
	for i := range maxMemoryRecords + 100 {
		ask := newAsk(0)
		ask.Key = claim.Hash{byte(i), byte(i >> 8), 1}
		require.Equal(t, claim.Run, n.claim(t, ask).Kind)
		n.End(ask.Attempt, &claim.Outcome{Status: 200})
		ask.Attempt = claim.AttemptID(uuid.New())
		require.Equal(t, claim.Replay, n.claim(t, ask).Kind)
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}
