package upstream

import (
	"bufio"
	"bytes"
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

const earlyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly"

// sendLong sends a request that buffers of connections don't hold to the endpoint, and reads the answer.
func sendLong(t *testing.T, pool *Pool, e Endpoint) (conn *Conn, body []byte, took time.Duration) {
	t.Helper()
	body = make([]byte, 16<<20)
	for i := range body {
		body[i] = byte(i % 251)
	}
	conn, err := pool.Get(context.Background(), e, 0)
	require.NoError(t, err)
	start := time.Now()
	sent, err := conn.Send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body)
	require.NoError(t, err)
	assert.True(t, sent)
	response, err := conn.Receive(http.MethodPost)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "early", string(text))
	return conn, body, time.Since(start)
}

// Guards against answers that wait until their upload is read, and against connections that are used behind an unfinished one.
func TestEarlyAnswerDoesNotWaitForUpload(t *testing.T) {
	release := make(chan struct{})
	address := serveRaw(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, earlyAnswer)
		<-release
	})
	pool, e := NewPool(), Endpoint{Address: address}
	conn, _, took := sendLong(t, pool, e)
	assert.Less(t, took, time.Second)
	assert.False(t, conn.Uploaded())
	pool.Put(e, conn)
	_, err := conn.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
	close(release)
}

// Guards against other bytes in the place of an upload that is read behind the answer.
func TestUploadThatIsReadBehindAnswerIsWhole(t *testing.T) {
	uploaded := make(chan []byte, 1)
	address := serveRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, earlyAnswer)
		time.Sleep(100 * time.Millisecond)
		data, _ := io.ReadAll(request.Body)
		uploaded <- data
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	pool, e := NewPool(), Endpoint{Address: address}
	conn, body, _ := sendLong(t, pool, e)
	assert.True(t, bytes.Equal(body, <-uploaded))
	require.Eventually(t, conn.Uploaded, 5*time.Second, time.Millisecond)
	sent, _ := conn.Traffic()
	assert.Greater(t, sent, int64(len(body)))
	pool.Put(e, conn)
	next, err := pool.Get(context.Background(), e, 0)
	require.NoError(t, err)
	assert.Same(t, conn, next)
	_, err = next.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
	require.NoError(t, err)
	response, err := next.Receive(http.MethodGet)
	require.NoError(t, err)
	assert.Equal(t, http.StatusNoContent, response.StatusCode)
	require.NoError(t, next.Close())
}

// Guards against watches whose wake-ups end an upload or are missed beside one.
func TestUploadBesideAnswerGoesOnWhenWatchWakes(t *testing.T) {
	uploaded := make(chan int, 1)
	address := serveRaw(t, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		time.Sleep(300 * time.Millisecond)
		data, _ := io.ReadAll(request.Body)
		uploaded <- len(data)
		_, _ = io.WriteString(conn, "early")
	})
	pool, e := NewPool(), Endpoint{Address: address}
	conn, err := pool.Get(context.Background(), e, 0)
	require.NoError(t, err)
	defer conn.Close()
	body := make([]byte, 16<<20)
	wakes := 0
	w := conn.Watch(func() (time.Time, error) {
		wakes++
		return time.Now().Add(20 * time.Millisecond), nil
	})
	w.WakeAt(time.Now().Add(time.Millisecond))
	_, err = conn.Send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body)
	require.NoError(t, err)
	response, err := conn.Receive(http.MethodPost)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	w.Stop()
	assert.Equal(t, "early", string(text))
	assert.Equal(t, len(body), <-uploaded)
	assert.Greater(t, wakes, 5)
}

// Guards against uploads that are cut behind their answer, and against connections that wait for them for ever.
func TestUploadGoesOnBehindItsAnswer(t *testing.T) {
	for _, reads := range []bool{true, false} {
		uploaded, closed := make(chan []byte, 1), make(chan struct{})
		address := serveRaw(t, func(conn net.Conn) {
			defer conn.Close() // not before the end of the test
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, earlyAnswer)
			if !reads {
				<-closed
				return
			}
			time.Sleep(100 * time.Millisecond)
			data, _ := io.ReadAll(request.Body)
			uploaded <- data
			<-closed
		})
		pool, e := NewPool(), Endpoint{Address: address}
		conn, body, _ := sendLong(t, pool, e)
		ended := make(chan struct{})
		start, limit := time.Now(), 500*time.Millisecond
		if reads {
			limit = 10 * time.Second
		}
		conn.FinishUpload(start.Add(limit), func() { close(ended) })
		pool.Put(e, conn)
		assert.Less(t, time.Since(start), 100*time.Millisecond)
		if reads {
			assert.True(t, bytes.Equal(body, <-uploaded))
		}
		<-ended
		if reads {
			assert.True(t, conn.healthy(), "the connection is kept")
		} else {
			assert.GreaterOrEqual(t, time.Since(start), limit)
			_, err := conn.Write([]byte("x"))
			assert.ErrorIs(t, err, net.ErrClosed)
		}
		close(closed)
	}
}
