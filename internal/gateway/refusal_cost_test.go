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

const floodAddress = "FLOOD_ADDRESS"

// TestFloodCaller is no test: BenchmarkUnreadRefusal runs it as a process of callers.
func TestFloodCaller(t *testing.T) {
	address := os.Getenv(floodAddress)
	if address == "" {
		return
	}
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for askOnce(address) == nil {
			}
		})
	}
	callers.Wait()
}

func askOnce(address string) error {
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

// BenchmarkUnreadRefusal measures the processor time of a connection that is refused unread.
func BenchmarkUnreadRefusal(b *testing.B) {
	refused := make(chan struct{}, 1<<16)
	c := newConnections(0)
	c.counted = func(string, float64) { refused <- struct{}{} }
	listener, err := c.listen("127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = (&http.Server{ConnState: c.track}).Serve(listener) }() // ends with the benchmark
	callers := exec.Command(os.Args[0], "-test.run=TestFloodCaller")
	callers.Env = append(os.Environ(), floodAddress+"="+listener.Addr().String())
	require.NoError(b, callers.Start())
	<-refused
	b.ResetTimer()
	before := processorTime(b)
	for range b.N {
		<-refused
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/refusal")
	b.StopTimer()
	require.NoError(b, listener.Close())
	_ = callers.Process.Kill()
	_ = callers.Wait()
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var use syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
