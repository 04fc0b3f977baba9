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
		Book:   claim.Options{Daemon: name, Incarnation: 1, MinInterval: time.Nanosecond},
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

func newAsk(key byte) claim.Ask {
	now := time.Now()
	return claim.Ask{
		Attempt: claim.Attempt(uuid.New()), Key: claim.Hash{key}, KeyTime: now,
		ClaimBy: now.Add(patience), WaitBy: now.Add(patience),
	}
}

func (n *node) claim(t *testing.T, ask claim.Ask) claim.Verdict {
	v, err := n.Claim(t.Context(), ask)
	require.NoError(t, err)
	return v
}

func TestOneDaemonRunsAndOthersHearItsAnswer(t *testing.T) {
	store, log := startLog(t, logstore.Options{})
	nodes := []*node{startNode(t, "d1", log), startNode(t, "d2", log), startNode(t, "d3", log)}
	store.SetFault(faults.Fault{Mode: faults.LoseAnswer, Every: 3})
	var wg sync.WaitGroup
	verdicts := make(chan claim.Verdict, len(nodes))
	for _, n := range nodes {
		wg.Go(func() {
			ask := newAsk(1)
			v, err := n.Claim(context.Background(), ask)
			if err == nil && v.Answer == claim.Run {
				n.End(ask.Attempt, &claim.Outcome{Status: 201, Body: []byte("serial 7")})
			}
			verdicts <- v
		})
	}
	wg.Wait()
	close(verdicts)
	count := map[claim.Answer]int{}
	for v := range verdicts {
		count[v.Answer]++
		if v.Answer == claim.Replay {
			require.Equal(t, "serial 7", string(v.Outcome.Body))
		}
	}
	require.Equal(t, map[claim.Answer]int{claim.Run: 1, claim.Replay: 2}, count)
}

func TestCallerThatGoesAwayFreesItsKey(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	n := startNode(t, "d1", log)
	first := newAsk(1)
	require.Equal(t, claim.Run, n.claim(t, first).Answer)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := n.Claim(ctx, newAsk(1))
	require.ErrorIs(t, err, context.Canceled)
	n.End(first.Attempt, nil)
	require.Equal(t, claim.Run, n.claim(t, newAsk(1)).Answer)
}

func TestFlushWritesTheLastOutcomes(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	n := startNode(t, "d1", log)
	ask := newAsk(1)
	require.Equal(t, claim.Run, n.claim(t, ask).Answer)
	n.End(ask.Attempt, &claim.Outcome{Status: 200})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.True(t, n.Flush(ctx))
	n.stop()
	require.Equal(t, claim.Replay, startNode(t, "d2", log).claim(t, newAsk(1)).Answer)
}

func TestColdStartReadsTheWindowOnly(t *testing.T) {
	store, log := startLog(t, logstore.Options{})
	old, err := claim.Encode(claim.Batch{Daemon: "d0", At: time.Now().Add(-time.Hour)})
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
	require.Equal(t, claim.Run, n.claim(t, newAsk(1)).Answer)
	read := store.Topics()[DefaultTopic].BytesOut - before.BytesOut
	require.Less(t, read, int64(2*readLimit*len(old)), "of %d records", before.Records)
}

func TestIssuedKeysNeedNoLog(t *testing.T) {
	n := startNode(t, "d1", &MemoryLog{})
	for i := range memoryKept + 100 {
		ask := newAsk(0)
		ask.Key = claim.Hash{byte(i), byte(i >> 8), 1}
		require.Equal(t, claim.Run, n.claim(t, ask).Answer)
		n.End(ask.Attempt, &claim.Outcome{Status: 200})
		ask.Attempt = claim.Attempt(uuid.New())
		require.Equal(t, claim.Replay, n.claim(t, ask).Answer)
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
