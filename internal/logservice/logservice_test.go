package logservice_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/instances"
	"github.com/filbertrill/filbertrill/test/standin/logstore"
)

const timeout = 10 * time.Second

func newLog(t *testing.T, opts logstore.Options) (*logstore.Server, *logservice.HTTPLog) {
	t.Helper()
	store := logstore.New(opts)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	log, err := logservice.NewHTTPLog(server.URL, timeout)
	require.NoError(t, err)
	return store, log
}

func TestLogRoundTrip(t *testing.T) {
	_, log := newLog(t, logstore.Options{})
	ctx := context.Background()
	offsets, err := log.Append(ctx, "a b/c", [][]byte{[]byte("one"), nil, {0, 255}})
	require.NoError(t, err)
	require.Equal(t, []int64{0, 1, 2}, offsets)

	records, err := log.Read(ctx, "a b/c", 1, 10)
	require.NoError(t, err)
	require.Equal(t, []logservice.Record{{Offset: 1, Value: []byte{}}, {Offset: 2, Value: []byte{0, 255}}}, records)

	records, err = log.Read(ctx, "a b/c", 3, 10)
	require.NoError(t, err)
	require.Empty(t, records)

	bounds, err := log.Bounds(ctx, "a b/c")
	require.NoError(t, err)
	require.Equal(t, logservice.Bounds{First: 0, Next: 3}, bounds)
}

func TestReadExpiredOffset(t *testing.T) {
	var seconds atomic.Int64
	now := func() time.Time { return time.Unix(seconds.Load(), 0) }
	tests := map[string]logstore.Options{
		"by count": {MaxRecords: 1, Now: now},
		"by age":   {MaxAge: 5 * time.Second, Now: now},
	}
	for name, opts := range tests {
		t.Run(name, func(t *testing.T) {
			_, log := newLog(t, opts)
			ctx := context.Background()
			for range 2 {
				_, err := log.Append(ctx, "t", [][]byte{[]byte("v")})
				require.NoError(t, err)
				seconds.Add(4)
			}
			_, err := log.Read(ctx, "t", 0, 10)
			require.ErrorIs(t, err, logservice.ErrOffsetExpired)
			bounds, err := log.Bounds(ctx, "t")
			require.NoError(t, err)
			require.Equal(t, logservice.Bounds{First: 1, Next: 2}, bounds)
		})
	}
}

func TestAppendFaults(t *testing.T) {
	tests := []struct {
		mode        faults.Mode
		notAppended bool
		records     int64
	}{
		{faults.LoseAnswer, false, 1},
		{faults.Down, true, 0},
		{faults.Flap, true, 0},
	}
	for _, test := range tests {
		t.Run(string(test.mode), func(t *testing.T) {
			store, log := newLog(t, logstore.Options{})
			store.SetFault(faults.Fault{Mode: test.mode})
			_, err := log.Append(context.Background(), "t", [][]byte{[]byte("v")})
			require.Error(t, err)
			if test.notAppended {
				require.ErrorIs(t, err, logservice.ErrNotAppended)
			} else {
				require.NotErrorIs(t, err, logservice.ErrNotAppended)
			}
			require.Equal(t, test.records, store.Topics()["t"].Records)
		})
	}
}

func TestAppendRateLimited(t *testing.T) {
	store, log := newLog(t, logstore.Options{
		AppendsPerSecond: 1,
		Now:              func() time.Time { return time.Unix(1, 0) },
	})
	_, err := log.Append(context.Background(), "t", [][]byte{[]byte("v")})
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "t", [][]byte{[]byte("v")})
	require.ErrorIs(t, err, logservice.ErrNotAppended)
	require.EqualValues(t, 1, store.Topics()["t"].Appends)
}

func TestAppendConnectionRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	log, err := logservice.NewHTTPLog(server.URL, timeout)
	require.NoError(t, err)
	// Enough failures to open a circuit breaker, which would hide that the request was not sent.
	for range 50 {
		_, err = log.Append(context.Background(), "t", [][]byte{[]byte("v")})
		require.ErrorIs(t, err, logservice.ErrNotAppended)
		require.ErrorContains(t, err, "dial")
		require.True(t, errors.Is(err, logservice.ErrNotAppended))
	}
}

func TestLogInvalidResponses(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"not JSON":       {200, "<html>"},
		"no offsets":     {200, `{}`},
		"error per item": {200, `{"offsets":[{"partition":0,"offset":1,"error_code":2,"error":"x"}]}`},
		"server error":   {500, `{"error_code":50001,"message":"x"}`},
		"bad gateway":    {502, ""},
		"timed out":      {408, ""},
		"redirect":       {307, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			log, err := logservice.NewHTTPLog(server.URL, timeout)
			require.NoError(t, err)
			_, err = log.Append(context.Background(), "t", [][]byte{[]byte("v")})
			require.Error(t, err)
			require.NotErrorIs(t, err, logservice.ErrNotAppended)
			_, err = log.Read(context.Background(), "t", 0, 1)
			require.Error(t, err)
			_, err = log.Bounds(context.Background(), "t")
			require.Error(t, err)
		})
	}
}

func TestInvalidURLs(t *testing.T) {
	for _, raw := range []string{"", "localhost:1", "ftp://a", "http://", "http://a:b"} {
		_, err := logservice.NewHTTPLog(raw, timeout)
		require.Error(t, err, raw)
		_, err = logservice.NewHTTPInstanceList(raw, timeout)
		require.Error(t, err, raw)
	}
}

func TestInstanceListLag(t *testing.T) {
	var seconds atomic.Int64
	list := instances.New(instances.Options{
		Lag: 10 * time.Second,
		Now: func() time.Time { return time.Unix(seconds.Load(), 0) },
	})
	server := httptest.NewServer(list)
	defer server.Close()
	client, err := logservice.NewHTTPInstanceList(server.URL+"/sd", timeout)
	require.NoError(t, err)
	requireInstances := func(want ...logservice.Instance) {
		t.Helper()
		got, err := client.Instances(context.Background())
		require.NoError(t, err)
		require.ElementsMatch(t, want, got)
	}

	list.Set(instances.Entry{Address: "127.0.0.1:1", Zone: "z1", State: instances.Live})
	requireInstances()
	seconds.Store(10)
	requireInstances(logservice.Instance{PeerAddress: "127.0.0.1:1", Zone: "z1"})
	list.Set(instances.Entry{Address: "127.0.0.1:1", Zone: "z1", State: instances.Leaving})
	requireInstances(logservice.Instance{PeerAddress: "127.0.0.1:1", Zone: "z1"})
	seconds.Store(20)
	requireInstances(logservice.Instance{PeerAddress: "127.0.0.1:1", Zone: "z1", Leaving: true})
	list.Remove("127.0.0.1:1")
	seconds.Store(30)
	requireInstances()

	list.SetFault(faults.Fault{Mode: faults.Down, Count: 1})
	_, err = client.Instances(context.Background())
	require.Error(t, err)
	requireInstances()
}

func TestInstanceListInvalidResponses(t *testing.T) {
	tests := map[string]string{
		"not JSON":      "<html>",
		"no zone":       `[{"targets":["127.0.0.1:1"],"labels":{"state":"live"}}]`,
		"unknown state": `[{"targets":["127.0.0.1:1"],"labels":{"zone":"z1","state":"x"}}]`,
		"bad target":    `[{"targets":["host"],"labels":{"zone":"z1","state":"live"}}]`,
		"twice":         `[{"targets":["127.0.0.1:1","127.0.0.1:1"],"labels":{"zone":"z1","state":"live"}}]`,
		"too large":     `"` + strings.Repeat("x", 64<<20) + `"`,
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			client, err := logservice.NewHTTPInstanceList(server.URL, timeout)
			require.NoError(t, err)
			_, err = client.Instances(context.Background())
			require.Error(t, err)
		})
	}
}
