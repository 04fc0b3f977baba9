package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against answers that wait for their upload because a watch has set its next wake-up over the interruption.
func TestArrivalDuringWakeUpInterruptsUpload(t *testing.T) {
	answer, ended := make(chan struct{}), make(chan struct{})
	defer close(ended)
	address := serveRaw(t, func(conn net.Conn) {
		<-answer
		_, _ = io.WriteString(conn, earlyAnswer)
		<-ended
	})
	pool, e := NewPool(), Endpoint{Address: address}
	conn, err := pool.Get(context.Background(), e, 0)
	require.NoError(t, err)
	defer conn.Close()
	first := true
	w := conn.Watch(func() (time.Time, error) {
		if first {
			first = false
			close(answer)
			time.Sleep(10 * arrivalInterval) // the answer arrives, and interrupts
		}
		return time.Now().Add(2 * time.Second), nil
	})
	defer w.Stop()
	w.WakeAt(time.Now().Add(50 * time.Millisecond))
	body := make([]byte, 16<<20)
	start := time.Now()
	_, err = conn.Send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body)
	require.NoError(t, err)
	assert.Less(t, time.Since(start), time.Second)
	response, err := conn.Receive(http.MethodPost)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against answers that the kernel cuts, and connections that are used again, because of a request that it holds and no server reads.
func TestBufferedUploadIsNoneThatWasRead(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	defer close(ended)
	address := serveRaw(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		time.Sleep(tcpUserTimeoutMillis*time.Millisecond + 2*time.Second)
		_, _ = io.WriteString(conn, "early")
		<-ended
	})
	pool, e := NewPool(), Endpoint{Address: address}
	conn, err := pool.Get(context.Background(), e, 0)
	require.NoError(t, err)
	body := make([]byte, 1<<20)
	_, err = conn.Send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body)
	require.NoError(t, err)
	response, err := conn.Receive(http.MethodPost)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "early", string(text))
	assert.False(t, conn.Uploaded())
	pool.Put(e, conn)
	next, err := pool.Get(context.Background(), e, 0)
	require.NoError(t, err)
	defer next.Close()
	assert.NotSame(t, conn, next)
}
