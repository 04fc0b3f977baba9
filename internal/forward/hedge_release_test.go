package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// Guards against memory, goroutines and attempts that are left behind by attempts beside silent servers.
func TestAttemptsBesideSilentServersLeaveNothingBehind(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			large := strings.Repeat("x", 40<<10)
			stream := streamAnswer(events(1, 3), events(4, lastEvent))
			whole := []any{stream[0], stream[1], stream[2], stream[3]}
			late := []any{stream[0], stream[1], 700 * time.Millisecond, stream[2], stream[3]}
			if kind == routing.Idempotent {
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: %d\r\n\r\n", len(large))
				whole, late = []any{head + large}, []any{head, large[:20<<10], 500 * time.Millisecond, large[20<<10:]}
			}
			s := &randomServers{steps: [][]any{
				whole, whole, late, late, append([]any{600 * time.Millisecond}, whole...), {20 * time.Second}, {""}, {notRunAnswer},
				{"HTTP/1.1 500 Internal Server Error\r\nId: id\r\nContent-Length: 40960\r\n\r\n" + large}, late[:2], append(late[:2:2], 20*time.Second),
			}}
			goroutines := runtime.NumGoroutine()
			gateway := startGateway(t, routing.Route{Kind: kind, Resumable: true, MaxTokenGap: 50 * time.Millisecond}, s.serve)
			h := gateway.Config.Handler.(*Handler)
			h.Config().Match("h", "/").Objective = 50 * time.Millisecond
			h.Config().Match("h", "/").MaxAttempts = 3
			h.answerMemory.limit = 1 << 20
			addresses := []string{}
			for range 6 {
				addresses = append(addresses, listen(t, s.serve))
			}
			setServers(h, addresses...)
			outcomes := map[string]int{}
			var mu sync.Mutex
			var callers sync.WaitGroup
			for range 60 {
				callers.Go(func() {
					for range 3 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(100+rand.IntN(2500))*time.Millisecond)
						request, _ := http.NewRequestWithContext(ctx, http.MethodGet, gateway.URL, nil)
						request.Host = "h"
						outcome := "left"
						if response, err := gateway.Client().Do(request); err == nil {
							body, err := io.ReadAll(response.Body)
							response.Body.Close()
							outcome = fmt.Sprint(response.StatusCode, " ", err)
							if err == nil && response.StatusCode == 200 {
								want := large
								if kind == routing.Stream {
									want = events(1, lastEvent)
								}
								assert.Equal(t, want, string(body))
							}
						}
						cancel()
						mu.Lock()
						outcomes[outcome]++
						mu.Unlock()
					}
				})
			}
			callers.Wait()
			t.Log(outcomes)
			require.Eventually(t, func() bool { return h.ActiveRequests() == 0 }, 5*time.Second, 10*time.Millisecond)
			assert.Zero(t, h.answerMemory.used.Load())
			assert.Zero(t, h.bodyMemory.used)
			gateway.Client().CloseIdleConnections()
			h.Pool.Prune(func(upstream.Endpoint) bool { return false }, time.Now())
			assert.Zero(t, reflect.ValueOf(h.Pool).Elem().FieldByName("endpoints").Len(), "endpoints with connections")
			for id, load := range h.Scheduler.View(0, time.Now()).Loads {
				assert.Zero(t, load.Running, "server %x", id)
			}
			assert.Eventually(t, func() bool { return runtime.NumGoroutine() < goroutines+30 }, 5*time.Second, 20*time.Millisecond)
		})
	}
}

// randomServers answer each request with one of the steps at random.
type randomServers struct{ steps [][]any }

func (s *randomServers) serve(_ net.Listener, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		for _, step := range s.steps[rand.IntN(len(s.steps))] {
			switch step := step.(type) {
			case string:
				if _, err := io.WriteString(conn, step); err != nil || step == "" {
					return
				}
			case time.Duration:
				_ = conn.SetReadDeadline(time.Now().Add(step))
				if _, err := reader.Peek(1); err == nil || !strings.Contains(err.Error(), "timeout") {
					return
				}
				_ = conn.SetReadDeadline(time.Time{})
			}
		}
	}
}
