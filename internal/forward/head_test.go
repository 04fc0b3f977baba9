package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// Guards against answers that are passed on as whole although their server closed the connection within the head.
func TestAnswerThatEndsWithinItsHeadIsNotAnAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/plain\r\nContent-Length: 512\r\nKeep-Alive: timeout=5\r\n\r\n"
	const chunkedHead = "HTTP/1.1 200 OK\r\nId: id\r\nTransfer-Encoding: chunked\r\n\r\n"
	const unframed = "HTTP/1.1 200 OK\r\nId: id\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, kind := range []routing.Kind{routing.Unrepeatable, routing.Idempotent, routing.Stream} {
		for _, text := range []string{head, chunkedHead, unframed, interim + unframed} {
			var cut atomic.Int64
			gateway := startGateway(t, routing.Route{Kind: kind, Resumable: kind == routing.Stream}, func(_ net.Listener, conn net.Conn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text[:cut.Load()]) // a caller that gets no answer fails the test
				}
			})
			for n := range len(text) {
				cut.Store(int64(n))
				status, _ := statusOf(t, gateway.URL)
				assert.GreaterOrEqual(t, status, 500, "kind %v, %q", kind, text[:n])
			}
			gateway.Close()
		}
	}
}
