package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// Guards against streams that are cut behind their last event, as their servers fall silent before the end and another one has no event to
// go on with.
func TestStreamIsNotCutWhenItsServersAreSilentBeforeItsEnd(t *testing.T) {
	all := streamAnswer(events(1, lastEvent))
	empty := streamAnswer()
	s := &pausingServers{alive: true, steps: [][]any{
		{all[0], all[1], 1200 * time.Millisecond, all[2]},
		{800 * time.Millisecond, empty[0], empty[1]},
	}}
	_, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
	assert.Equal(t, events(1, lastEvent), body)
	assert.True(t, complete)
}

// Guards against streams that are lost because their server answers questions, but never goes on.
func TestStalledStreamOfRunningServerGoesOnBeforeItsCallerLeaves(t *testing.T) {
	begun := streamAnswer(events(1, 3))
	s := &pausingServers{alive: true, steps: [][]any{{begun[0], begun[1], 20 * time.Second}, asSteps(streamAnswer(events(4, lastEvent)))}}
	_, body, complete, took := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
	assert.True(t, complete)
	assert.Equal(t, events(1, lastEvent), body)
	assert.Less(t, took, minCallerPatience)
}

// Guards against streams that are cut when all servers are silent behind their events, of a service with a health check.
func TestStreamIsNotGivenUpForServerThatIsSilentToo(t *testing.T) {
	for _, last := range []int{3, lastEvent} {
		t.Run(fmt.Sprint(last, " events"), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var silentUntil time.Time
			requests := 0
			gateway := startGateway(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond}, func(_ net.Listener, conn net.Conn) {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				mu.Lock()
				end, first := silentUntil, request.URL.Path == "/" && silentUntil.IsZero()
				if first {
					silentUntil = time.Now().Add(silence)
				}
				if request.URL.Path == "/" {
					requests++
				}
				mu.Unlock()
				time.Sleep(time.Until(end))
				after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // empty for a new stream
				switch {
				case request.URL.Path != "/":
					_, _ = io.WriteString(conn, soundAnswer)
				case first:
					writes := streamAnswer(events(1, last), events(last+1, lastEvent))
					if last == lastEvent {
						writes = streamAnswer(events(1, last))
					}
					_, _ = io.WriteString(conn, writes[0]+writes[1])
					time.Sleep(silence)
					_, _ = io.WriteString(conn, strings.Join(writes[2:], ""))
				default:
					_, _ = io.WriteString(conn, strings.Join(streamAnswer(events(after+1, lastEvent)), ""))
				}
			})
			h := gateway.Config.Handler.(*Handler)
			h.Protocol = pathProtocol{}
			h.Config().Services[0].HealthPath = "/health"
			h.Config().Match("h", "/").Objective = 100 * time.Millisecond
			request, err := http.NewRequest(http.MethodGet, gateway.URL+"/", nil)
			require.NoError(t, err)
			request.Host = "h"
			response, err := gateway.Client().Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NoError(t, err)
			assert.Equal(t, events(1, lastEvent), string(body))
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, 1, requests)
		})
	}
}

// pathProtocol passes the path of requests on, too.
type pathProtocol struct{ idServerProtocol }

func (pathProtocol) EncodeRequestHeader(r ServerRequest) []byte {
	return []byte("GET " + r.Request.URL.Path + " HTTP/1.1\r\nHost: h\r\nLast-Event-Id: " + r.LastEventID + "\r\n\r\n")
}
