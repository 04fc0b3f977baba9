package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/upstream"
)

// idProtocol reads the ID of an answer from the header Id.
type idProtocol struct{ fixedProtocol }

func (idProtocol) EncodeRequestHeader(ServerRequest) []byte {
	return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

func (idProtocol) DecodeAnswer(h http.Header) AnswerInfo {
	return AnswerInfo{ID: h.Get("Id"), Signed: true}
}

// serveRaw accepts connections, reads the start of a request from each and calls write. It returns the address.
func serveRaw(t *testing.T, write func(w io.Writer)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096)) // the request
				write(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestLongAnswerToAnotherRequestIsNotCut(t *testing.T) {
	inside := "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 5\r\n\r\nwrong"
	body := strings.Repeat("x", maxBufferedAnswerBytes) + inside
	address := serveRaw(t, func(w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 5\r\n\r\nright")
	})
	h := newBusyHandler(t)
	h.Protocol = idProtocol{}
	conn, err := h.Pool.Get(context.Background(), upstream.Endpoint{Address: address}, 0)
	require.NoError(t, err)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	c := &call{request: httptest.NewRequest(http.MethodGet, "/", nil), envelope: &Envelope{ID: "id"}}
	_, _, err = h.receiveAnswer(c, conn)
	assert.ErrorContains(t, err, "answer to another request is longer")
}
