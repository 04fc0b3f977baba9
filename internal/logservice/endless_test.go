package logservice_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// repeat writes the start, the text so many times or until the caller closes the connection, and the end.
func repeat(w io.Writer, start, text string, times int, end string) {
	chunk := strings.Repeat(text, 10_000)
	_, err := io.WriteString(w, start)
	for i := 0; err == nil && (i < times || times == 0); i += 10_000 {
		_, err = io.WriteString(w, chunk)
	}
	_, _ = io.WriteString(w, end) // an error means that the caller has closed the connection
}

// Guards against a daemon that ends for its memory, because a service of the platform answers without end or with millions of entries.
func TestAnswersWithoutEndStayWithinMemory(t *testing.T) {
	const maxGrowth = 64 << 20
	for name, answer := range map[string]func(w http.ResponseWriter){
		"many empty objects": func(w http.ResponseWriter) { repeat(w, "[", "{},", 20_000_000, "{}]") },
		"many nulls":         func(w http.ResponseWriter) { repeat(w, "[", "null,", 12_000_000, "null]") },
		"offsets":            func(w http.ResponseWriter) { repeat(w, `{"offsets":[`, "{},", 20_000_000, "{}]}") },
		"targets":            func(w http.ResponseWriter) { repeat(w, `[{"targets":[`, `"",`, 20_000_000, `""]}]`) },
		"number without end": func(w http.ResponseWriter) { repeat(w, "", "1", 0, "") },
		"space without end":  func(w http.ResponseWriter) { repeat(w, "", " ", 0, "") },
		"error without end": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusInternalServerError)
			repeat(w, `{"message":"`, "x", 0, "")
		},
		"head without end": func(w http.ResponseWriter) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				defer conn.Close()
				repeat(conn, "HTTP/1.1 200 OK\r\n", "a: b\r\n", 0, "")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
			defer server.Close()
			log, err := logservice.NewHTTPLog(server.URL, timeout)
			require.NoError(t, err)
			list, err := logservice.NewHTTPInstanceList(server.URL, timeout)
			require.NoError(t, err)
			for call, invoke := range map[string]func() error{
				"instances": func() error { _, err := list.Instances(context.Background()); return err },
				"read":      func() error { _, err := log.Read(context.Background(), "t", 0, 500); return err },
				"bounds":    func() error { _, err := log.Bounds(context.Background(), "t"); return err },
				"append":    func() error { _, err := log.Append(context.Background(), "t", [][]byte{nil}); return err },
			} {
				growth := peakGrowth(func() { require.Error(t, invoke()) })
				t.Logf("%s: %d MB", call, growth>>20)
				require.Less(t, growth, uint64(maxGrowth), call)
			}
		})
	}
}

// peakGrowth returns by how many bytes the heap grows at most while run runs.
func peakGrowth(run func()) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before, peak, done := stats.HeapAlloc, stats.HeapAlloc, make(chan struct{})
	var measuring sync.WaitGroup
	measuring.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
		}
	})
	run()
	close(done)
	measuring.Wait()
	return peak - before
}
