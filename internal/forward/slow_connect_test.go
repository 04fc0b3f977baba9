package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// fullAddress returns an address whose listener accepts no connection, and drops them.
func fullAddress(t *testing.T) (listener net.Listener, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	listener, err = net.FileListener(file)
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	address = listener.Addr().String()
	for full := false; !full; {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if full = err != nil; !full {
			t.Cleanup(func() { conn.Close() })
		}
	}
	return listener, address
}

// setServers replaces the servers of the gateway.
func setServers(h *Handler, addresses ...string) {
	var servers []routing.Server
	for i, address := range addresses {
		servers = append(servers, routing.Server{
			ID: fmt.Sprint("s", i), Service: "llm", Zone: "a", Slots: 12, State: routing.Ready, Version: "v", Address: address,
		})
	}
	h.Scheduler.SetServers(servers, h.Config())
}

// processorTime returns what the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against streams that use a processor while the connection of another attempt opens slowly.
func TestNoProcessorTimeIsUsedWhileTheConnectionOfAnotherAttemptOpens(t *testing.T) {
	_, slow := fullAddress(t)
	writes := streamAnswer(events(1, 3), events(4, lastEvent))
	s := &pausingServers{steps: [][]any{{writes[0], writes[1], silence, writes[2], writes[3]}}}
	gateway := startGateway(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond}, s.serve)
	h := gateway.Config.Handler.(*Handler)
	h.Config().Match("h", "/").Objective = 100 * time.Millisecond
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := gateway.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	setServers(h, slow)
	before := processorTime(t)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, events(1, lastEvent), string(body))
	assert.Less(t, processorTime(t)-before, 200*time.Millisecond)
}

// Guards against requests that are refused as the only server accepts a connection late.
func TestRequestWaitsForServerThatAcceptsLate(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.Unrepeatable} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			t.Parallel()
			listener, address := fullAddress(t)
			gateway := startGateway(t, routing.Route{Kind: kind}, func(_ net.Listener, conn net.Conn) { _ = conn.Close() })
			h := gateway.Config.Handler.(*Handler)
			setServers(h, address)
			var requests atomic.Int64
			time.AfterFunc(1500*time.Millisecond, func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							requests.Add(1)
							_, _ = io.WriteString(conn, soundAnswer)
						}
					}()
				}
			})
			request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
			require.NoError(t, err)
			request.Host = "h"
			started := time.Now()
			response, err := gateway.Client().Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, http.StatusOK, response.StatusCode, "after %v", time.Since(started))
			assert.EqualValues(t, 1, requests.Load())
		})
	}
}
