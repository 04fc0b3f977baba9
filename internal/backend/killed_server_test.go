package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/rawserver"
)

// killedServerVariable is set for processes of this test that run runKilledServer.
const killedServerVariable = "FILBERTRILL_TEST_KILLED_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(killedServerVariable) != "" {
		runKilledServer()
	}
	os.Exit(m.Run())
}

// runKilledServer prints the address at which it listens, sends a part of an answer without a length, and kills its process.
func runKilledServer() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			panic(err)
		}
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return // a connection without a request
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
			time.Sleep(10 * time.Millisecond) // the client waits for the next part
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}()
	}
}

// Guards against answers without a length that pass for complete although their server was killed: the kernel ends its connections.
func TestAnswerWithoutLengthOfKilledProcessIsAnError(t *testing.T) {
	const kills, otherConns = 10, 20
	for range kills {
		server := exec.Command(os.Args[0])
		server.Env = append(os.Environ(), killedServerVariable+"=1")
		output, err := server.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, server.Start())
		line, err := bufio.NewReader(output).ReadString('\n')
		require.NoError(t, err)
		address := strings.TrimSpace(line)
		for range otherConns { // the kernel closes them before the listener
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
		}
		response, err := NewPlainClient().Call(t.Context(), address, PlainRequest{Method: http.MethodGet, Path: "/"})
		assert.True(t, errors.Is(err, io.ErrUnexpectedEOF), "%+v: %v", response, err)
		assert.False(t, errors.Is(err, ErrNotSent), "%v", err)
		assert.Error(t, server.Wait()) // killed
	}
}

// Guards against answers of killed servers that pass for complete because another process answers at the address.
func TestNextProcessDoesNotCompleteAnswerOfTheOneBefore(t *testing.T) {
	for range 10 {
		var first *rawserver.Process
		started := make(chan struct{})
		first = rawserver.StartProcess(t, "", func(conn *net.TCPConn, _ *http.Request) bool {
			<-started
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
			time.Sleep(10 * time.Millisecond) // the client waits for the next part
			first.Kill()
			rawserver.StartProcess(t, first.Address, func(conn *net.TCPConn, _ *http.Request) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			return false
		})
		close(started)
		response, err := NewPlainClient().Call(t.Context(), first.Address, PlainRequest{Method: http.MethodGet, Path: "/"})
		assert.Error(t, err, "%+v", response)
		assert.False(t, errors.Is(err, ErrNotSent), "%v", err)
	}
}

// Guards against answers that are refused because their server closes, or resets, connections beyond a limit. One connection
// beside that of the request is enough. Without one nothing tells the process that has answered from the next one.
func TestAnswerWithoutLengthOfServerAtItsConnectionLimit(t *testing.T) {
	for _, accepts := range []int{1, 2} {
		for _, reset := range []bool{false, true} {
			address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody") })
			limited := limitConns(t, address, accepts, reset)
			response, err := NewPlainClient().Call(t.Context(), limited, PlainRequest{Method: http.MethodGet, Path: "/"})
			if accepts == 1 {
				require.True(t, errors.Is(err, io.ErrUnexpectedEOF), "reset %t: %v", reset, err)
				continue
			}
			require.NoError(t, err, "reset %t", reset)
			assert.Equal(t, "body", string(response.Body))
			assert.True(t, response.EndConfirmed)
		}
	}
}

// limitConns starts a server that passes so many connections on to the address, and closes or resets all others.
func limitConns(t *testing.T, address string, accepts int, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for accepted := 1; ; accepted++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if accepted > accepts {
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
				continue
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(server, conn) }()
			go func() { _, _ = io.Copy(conn, server); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}
