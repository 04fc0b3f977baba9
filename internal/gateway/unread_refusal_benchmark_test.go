package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const floodAddressEnv = "FLOOD_ADDRESS"

// TestFloodCallerProcess is not a test: BenchmarkUnreadRefusal runs it in a process of its own,
// which sends the requests.
func TestFloodCallerProcess(t *testing.T) {
	address := os.Getenv(floodAddressEnv)
	if address == "" {
		return
	}
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for sendFloodRequest(address) == nil {
			}
		})
	}
	callers.Wait()
}

func sendFloodRequest(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	return conn.Close()
}

// BenchmarkUnreadRefusal measures the processor time to refuse one connection unread.
func BenchmarkUnreadRefusal(b *testing.B) {
	refused := make(chan struct{}, 1<<16)
	c := newTestLimiter(0)
	c.onRefused = func(string, float64) { refused <- struct{}{} }
	listener, err := c.listen("127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = (&http.Server{ConnState: c.connStateChanged}).Serve(listener) }() // ends with the benchmark
	callers := exec.Command(os.Args[0], "-test.run=TestFloodCallerProcess")
	callers.Env = append(os.Environ(), floodAddressEnv+"="+listener.Addr().String())
	require.NoError(b, callers.Start())
	<-refused
	b.ResetTimer()
	before := cpuTime(b)
	for range b.N {
		<-refused
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/refusal")
	b.StopTimer()
	require.NoError(b, listener.Close())
	_ = callers.Process.Kill()
	_ = callers.Wait()
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
