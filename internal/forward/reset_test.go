package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// resetDuringUpload sends a long request to servers that read its head, write the answer and reset the connection after the pause. It returns
// the answer, and whether it looks complete.
func resetDuringUpload(t *testing.T, route routing.Route, answer string, pause time.Duration) (status int, body string, complete bool) {
	t.Helper()
	gateway := startGateway(t, route, func(_ net.Listener, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			_ = conn.Close()
			return // a connection to see whether the server is there
		}
		_, _ = io.WriteString(conn, answer)
		time.Sleep(pause)
		_ = conn.(*net.TCPConn).SetLinger(0) // fails on closed connections only
		_ = conn.Close()
	})
	request, err := http.NewRequest(http.MethodPost, gateway.URL, strings.NewReader(strings.Repeat("x", 8<<20)))
	require.NoError(t, err)
	request.Host = "h"
	response, err := gateway.Client().Do(request)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

func TestStreamThatIsResetDuringUploadIsNotComplete(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("resumable %t, pause %v", resumable, pause), func(t *testing.T) {
				status, body, complete := resetDuringUpload(t, routing.Route{Kind: routing.Stream, Resumable: resumable}, unframedHead+events(1, 3), pause)
				assert.False(t, status == http.StatusOK && complete, "%q looks complete", body)
			})
		}
	}
}

func TestEarlyAnswerThatIsResetDuringUploadIsNotComplete(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.Unrepeatable} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("kind %v, pause %v", kind, pause), func(t *testing.T) {
				status, body, complete := resetDuringUpload(t, routing.Route{Kind: kind}, unframedHead+"part of the body", pause)
				assert.False(t, status == http.StatusOK && complete, "%q looks complete", body)
			})
		}
	}
}

// statusOfHead returns the status that callers get of servers that answer with the head, and the text behind it.
func statusOfHead(t *testing.T, kind routing.Kind, head string) int {
	t.Helper()
	gateway := startGateway(t, routing.Route{Kind: kind, Resumable: kind == routing.Stream}, func(_ net.Listener, conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, head)
		}
	})
	status, _ := statusOf(t, gateway.URL)
	return status
}

func TestStatusOutsideOfHTTPIsNotAnAnswer(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Unrepeatable, routing.Idempotent, routing.Stream} {
		for _, status := range []string{"000", "099", "600", "999"} {
			head := "HTTP/1.1 " + status + " Odd\r\nId: id\r\nContent-Length: 2\r\n\r\nok"
			assert.Equal(t, http.StatusBadGateway, statusOfHead(t, kind, head), "kind %v, status %s", kind, status)
		}
	}
}

func TestNameWithBlankOrControlByteIsNotOfAnAnswer(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Unrepeatable, routing.Idempotent, routing.Stream} {
		for _, field := range []string{"X Odd: 1", "Content-Length : 5", "Transfer-Encoding : chunked", "X-Odd\x01: 1", "X-Odd\t: 1"} {
			head := "HTTP/1.1 200 OK\r\nId: id\r\n" + field + "\r\n\r\n" + events(1, 3)
			assert.Equal(t, http.StatusBadGateway, statusOfHead(t, kind, head), "kind %v, field %q", kind, field)
		}
	}
}
