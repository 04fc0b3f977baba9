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

const waitTimeout = 20 * time.Second

// testDaemon is a running controller of one daemon.
type testDaemon struct {
	*Controller
	stop func()
}

func startDaemon(t *testing.T, name string, log logservice.Log) *testDaemon {
	c := NewController(Options{
		Log:    log,
		Table:  claim.Options{Daemon: name, Incarnation: 1, MinAppendInterval: time.Nanosecond},
		Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	d := &testDaemon{Controller: c, stop: sync.OnceFunc(func() { cancel(); <-done })}
	t.Cleanup(d.stop)
	return d
}

func startLog(t *testing.T, opts logstore.Options) (*logstore.Server, logservice.Log) {
	store := logstore.New(opts)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	log, err := logservice.NewHTTPLog(server.URL, 2*time.Second)
	require.NoError(t, err)
	return store, log
}

func newRequest(key byte) claim.Request {
	now := time.Now()
	return claim.Request{
		Attempt: claim.AttemptID(uuid.New()), Key: claim.Hash{key}, KeyCreatedAt: now,
		ClaimDeadline: now.Add(waitTimeout), WaitDeadline: now.Add(waitTimeout),
	}
}

func (d *testDaemon) claim(t *testing.T, req claim.Request) claim.Decision {
	decision, err := d.Claim(t.Context(), req)
	require.NoError(t, err)
	return decision
}

func TestOneDaemonRunsAndOthersReplay(t *testing.T) {
	store, log := startLog(t, logstore.Options{})
	daemons := []*testDaemon{startDaemon(t, "d1", log), startDaemon(t, "d2", log), startDaemon(t, "d3", log)}
	store.SetFault(faults.Fault{Mode: faults.LoseAnswer, Every: 3})
	var wg sync.WaitGroup
	decisions := make(chan claim.Decision, len(daemons))
	for _, d := range daemons {
		wg.Go(func() {
			req := newRequest(1)
			decision, err := d.Claim(context.Background(), req)
			if err == nil && decision.Kind == claim.Run {
				d.End(req.Attempt, &claim.Outcome{Status: 201, Body: []byte("serial 7")})
			}
			decisions <- decision
		})
	}
	wg.Wait()
	close(decisions)
	count := map[claim.DecisionKind]int{}
	for decision := range decisions {
		count[decision.Kind]++
		if decision.Kind == claim.Replay {
			require.Equal(t, "serial 7", string(decision.Outcome.Body))
		}
	}
	require.Equal(t, map[claim.DecisionKind]int{claim.Run: 1, claim.Replay: 2}, count)
}

func TestCanceledRequestDoesNotBlockKey(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	d := startDaemon(t, "d1", log)
	first := newRequest(1)
	require.Equal(t, claim.Run, d.claim(t, first).Kind)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := d.Claim(ctx, newRequest(1))
	require.ErrorIs(t, err, context.Canceled)
	d.End(first.Attempt, nil)
	require.Equal(t, claim.Run, d.claim(t, newRequest(1)).Kind)
}

func TestFlushWritesOutcomes(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	d := startDaemon(t, "d1", log)
	req := newRequest(1)
	require.Equal(t, claim.Run, d.claim(t, req).Kind)
	d.End(req.Attempt, &claim.Outcome{Status: 200})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.True(t, d.Flush(ctx))
	d.stop()
	require.Equal(t, claim.Replay, startDaemon(t, "d2", log).claim(t, newRequest(1)).Kind)
}

func TestColdStartReadsOnlyWindow(t *testing.T) {
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
	d := startDaemon(t, "d1", log)
	require.Equal(t, claim.Run, d.claim(t, newRequest(1)).Kind)
	read := store.Topics()[DefaultTopic].BytesOut - before.BytesOut
	require.Less(t, read, int64(2*maxReadRecords*len(old)), "of %d records", before.Records)
}

// Guards against a second run at a daemon that starts and takes a record that it can't read for one from before the window.
func TestUnreadableRecordDoesNotCountAsOld(t *testing.T) {
	encode := func(b claim.Batch) []byte {
		value, err := claim.Encode(b)
		require.NoError(t, err)
		return value
	}
	_, log := startLog(t, logstore.Options{})
	key, attempt := newRequest(7), claim.AttemptID(uuid.New())
	values := [][]byte{
		encode(claim.Batch{Daemon: "d0", CreatedAt: time.Now().Add(-time.Hour)}),
		encode(claim.Batch{Daemon: "d0", CreatedAt: time.Now(), Records: []claim.Record{{Kind: claim.KindClaim, Key: key.Key, Attempt: attempt}}}),
		encode(claim.Batch{Daemon: "d0", CreatedAt: time.Now(), Records: []claim.Record{
			{Kind: claim.KindOutcome, Key: key.Key, Attempt: attempt, Outcome: &claim.Outcome{Status: 200}},
		}}),
	}
	for len(values) < 2*maxReadRecords {
		values = append(values, encode(claim.Batch{Daemon: "d0", CreatedAt: time.Now()}))
	}
	values[maxReadRecords] = []byte("unreadable")
	_, err := log.Append(t.Context(), DefaultTopic, values)
	require.NoError(t, err)
	require.Equal(t, claim.Replay, startDaemon(t, "d1", log).claim(t, key).Kind)
}

// Guards against a second run of a key whose claim stands in a batch that this daemon can't decode.
func TestKeyIsNotRunBehindUnreadableBatch(t *testing.T) {
	key, earlier := newRequest(7), newRequest(8)
	outcome := &claim.Outcome{Status: 200}
	claimOf := func(r claim.Request) claim.Record {
		return claim.Record{Kind: claim.KindClaim, Key: r.Key, Content: r.Content, Attempt: r.Attempt}
	}
	encode := func(b claim.Batch) []byte {
		b.Daemon, b.CreatedAt = "d0", time.Now()
		value, err := claim.Encode(b)
		require.NoError(t, err)
		return value
	}
	unreadable := map[string][]byte{
		"noise":                    []byte("unreadable"),
		"one record of other kind": encode(claim.Batch{Records: []claim.Record{claimOf(key), {Kind: 99}}}),
	}
	for name, value := range unreadable {
		_, log := startLog(t, logstore.Options{})
		_, err := log.Append(t.Context(), DefaultTopic, [][]byte{
			encode(claim.Batch{Records: []claim.Record{claimOf(earlier), {Kind: claim.KindOutcome, Key: earlier.Key, Attempt: earlier.Attempt, Outcome: outcome}}}),
			value,
		})
		require.NoError(t, err)
		d := startDaemon(t, "d1", log)
		request := newRequest(7)
		request.KeyCreatedAt = key.KeyCreatedAt
		require.Equal(t, claim.KeyExpired, d.claim(t, request).Kind, name)
		request = newRequest(8)
		request.KeyCreatedAt = earlier.KeyCreatedAt
		require.Equal(t, claim.Replay, d.claim(t, request).Kind, "%s: the claim before it is known", name)
		request = newRequest(9)
		request.KeyCreatedAt = time.Now().Add(3 * claim.DefaultMaxClockSkew)
		require.Equal(t, claim.Run, d.claim(t, request).Kind, "%s: nothing before it can have claimed the key", name)
	}
}

// partLog returns few records in a read, like a log with large ones.
type partLog struct{ logservice.Log }

func (l partLog) Read(ctx context.Context, topic string, offset int64, limit int) ([]logservice.Record, error) {
	const few = 3
	records, err := l.Log.Read(ctx, topic, offset, limit)
	if err == nil && len(records) > few {
		return records[:few], logservice.ErrMoreRecords
	}
	return records, err
}

// Guards against a daemon that can't decide on claims for good, because the log's records are too large for one read.
func TestClaimsInLargeRecordsAreRead(t *testing.T) {
	_, log := startLog(t, logstore.Options{})
	first := startDaemon(t, "d1", log)
	requests := make([]claim.Request, 40)
	for i := range requests {
		requests[i] = newRequest(byte(i))
		require.Equal(t, claim.Run, first.claim(t, requests[i]).Kind)
		first.End(requests[i].Attempt, &claim.Outcome{Status: 200})
	}
	require.True(t, first.Flush(t.Context()))
	second := startDaemon(t, "d2", partLog{log})
	for _, request := range requests {
		request.Attempt = claim.AttemptID(uuid.New())
		require.Equal(t, claim.Replay, second.claim(t, request).Kind)
	}
}

func TestMemoryLogServesIssuedKeys(t *testing.T) {
	d := startDaemon(t, "d1", &MemoryLog{})
	for i := range maxMemoryRecords + 100 {
		req := newRequest(0)
		req.Key = claim.Hash{byte(i), byte(i >> 8), 1}
		require.Equal(t, claim.Run, d.claim(t, req).Kind)
		d.End(req.Attempt, &claim.Outcome{Status: 200})
		req.Attempt = claim.AttemptID(uuid.New())
		require.Equal(t, claim.Replay, d.claim(t, req).Kind)
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
