package filter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against answers of plain services that are broken off and look complete to callers whose answers have no chunks.
func TestBrokenPlainAnswerLooksIncompleteWithoutChunks(t *testing.T) {
	body := strings.Repeat("x", 32<<20) // more than sockets hold
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = (&Answer{Status: http.StatusOK, Body: []byte(body)}).Write(NewWriter(w, r)) // fails when the connection is closed
	}))
	defer server.Close()
	for _, breaks := range []bool{false, true} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		if breaks {
			server.CloseClientConnections() // as the kernel does when the process is killed
		}
		data, err := io.ReadAll(response.Body)
		if breaks {
			assert.Less(t, len(data), len(body))
			assert.Error(t, err)
		} else {
			assert.Len(t, data, len(body))
			assert.NoError(t, err)
		}
		require.NoError(t, conn.Close())
	}
}
