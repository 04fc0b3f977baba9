package forward

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// fixedProtocol decodes every request to the same envelope.
type fixedProtocol struct{}

func (fixedProtocol) DecodeRequest(*http.Request) (*Envelope, error) {
	return &Envelope{
		ID: "id", Deadline: 10 * time.Second, PromptTokens: 12_000, OutputTokens: 300,
		Parts: []placement.Part{{ID: 1, Tokens: 512}, {ID: 2, Tokens: 4870}, {ID: 3, Tokens: 6618}},
	}, nil
}

func (fixedProtocol) DecodePartialRequest([]byte) Envelope     { return Envelope{} }
func (fixedProtocol) EncodeRequestHeader(ServerRequest) []byte { return nil }
func (fixedProtocol) DecodeAnswer(h http.Header) AnswerInfo    { return AnswerInfo{} }

const bodyBytes = 40 << 10

// newBusyHandler returns a handler in a fleet of 65 daemons and 112 servers, all of them busy.
func newBusyHandler(tb testing.TB) *Handler {
	tb.Helper()
	config, err := routing.Build(routing.Config{
		Version:  1,
		Limits:   routing.Limits{TokensPerSecond: 2_000_000},
		Services: []routing.Service{{Name: "llm", EngineSlots: 12, MemoryTokens: 372_402}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Engine: true, Public: true,
			Objective: 400 * time.Millisecond, MaxAttempts: 2, Targets: []routing.Target{{Service: "llm", Weight: 1}},
		}},
	})
	require.NoError(tb, err)
	servers := make([]routing.Server, 0, 112)
	loads := make(map[uint64]placement.Load)
	for i := range 112 {
		id := fmt.Sprintf("s%03d", i)
		servers = append(servers, routing.Server{ID: id, Service: "llm", Zone: "a", Slots: 12, State: routing.Ready})
		loads[placement.Hash(id)] = placement.Load{Running: 1, PendingTokens: 20_000, MemoryTokens: 20_000}
	}
	sched := scheduler.New(scheduler.Options{
		Zone: "a", FairWindow: 4 * time.Second, Daemons: func() int { return 65 },
		RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	})
	sched.SetServers(servers, config)
	for i := range 20 {
		sched.SetPeer(fmt.Sprint("p", i), scheduler.View{Loads: loads}, time.Now().Add(time.Hour))
	}
	metrics, _, closer := telemetry.New(telemetry.Options{})
	tb.Cleanup(func() { require.NoError(tb, closer.Close()) })
	return NewHandler(Options{
		Protocol:  fixedProtocol{},
		Config:    func() *routing.Config { return config },
		ConfigAge: func(time.Time) time.Duration { return 0 },
		Scheduler: sched, Pool: upstream.NewPool(), ConnectionPressure: func() bool { return true },
		Overloaded: func() bool { return false }, Metrics: metrics,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// BenchmarkRefusal measures the refusal of a request on a new connection, including the work of
// the caller.
func BenchmarkRefusal(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: newBusyHandler(b)}
	go func() { _ = server.Serve(listener) }() // ends with the benchmark
	defer func() { require.NoError(b, server.Close()) }()
	body := bytes.Repeat([]byte("x"), bodyBytes)
	head := []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes))
	b.ResetTimer()
	for range b.N {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(b, err)
		buffers := net.Buffers{head, body}
		_, err = buffers.WriteTo(conn)
		require.NoError(b, err)
		answer, err := io.ReadAll(conn)
		require.NoError(b, err)
		require.Contains(b, string(answer), "503")
		require.NoError(b, conn.Close())
	}
}

// streamProtocol sends a minimal request header and treats every answer as signed.
type streamProtocol struct{ fixedProtocol }

func (streamProtocol) EncodeRequestHeader(d ServerRequest) []byte {
	return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", d.BodyBytes)
}

func (streamProtocol) DecodeAnswer(http.Header) AnswerInfo { return AnswerInfo{ID: "id", Signed: true} }

// BenchmarkStream measures a request that is answered with a stream of 35 events, including the
// work of the caller and the server.
func BenchmarkStream(b *testing.B) {
	const events, tokenGap = 35, 5 * time.Millisecond
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			time.Sleep(tokenGap)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ten tokens or so of some text that goes on\n\n", i+1)
			w.(http.Flusher).Flush()
		}
	})}
	serverListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(serverListener) }() // ends with the benchmark
	handler := newBusyHandler(b)
	handler.Protocol = streamProtocol{}
	handler.Scheduler.SetServers([]routing.Server{{
		ID: "only", Service: "llm", Zone: "a", Slots: 1 << 20, State: routing.Ready, Address: serverListener.Addr().String(),
	}}, handler.Config())
	entryListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	gateway := &http.Server{Handler: handler}
	go func() { _ = gateway.Serve(entryListener) }() // ends with the benchmark
	body := bytes.Repeat([]byte("x"), bodyBytes)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	b.SetParallelism(100)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, err := http.NewRequest(http.MethodPost, "http://"+entryListener.Addr().String(), bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			request.Host = "h"
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.StopTimer()
	_ = gateway.Close()
	_ = server.Close()
}
