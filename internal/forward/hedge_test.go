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

// pausingServers answer the requests that they get in turn with steps.
type pausingServers struct {
	mu       sync.Mutex
	steps    [][]any       // by request: texts that are written, durations of silence
	received []http.Header // of the requests
	at       []time.Time   // when they were received
	closed   []time.Time   // when the daemon closed the connection of the request before the last step; zero if it did not
	alive    bool          // they answer whether they run while they are silent
}

func (s *pausingServers) serve(_ net.Listener, conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.Method == http.MethodOptions {
		if s.alive {
			answerPing(conn, request)
		}
		_, _ = conn.Read(make([]byte, 1)) // until the daemon disconnects
		return
	}
	s.mu.Lock()
	n := len(s.received)
	s.received, s.closed, s.at = append(s.received, request.Header), append(s.closed, time.Time{}), append(s.at, time.Now())
	steps := s.steps[min(n, len(s.steps)-1)]
	s.mu.Unlock()
	for _, step := range steps {
		switch step := step.(type) {
		case string:
			if _, err := io.WriteString(conn, step); err != nil {
				return
			}
		case time.Duration:
			_ = conn.SetReadDeadline(time.Now().Add(step))
			if _, err := conn.Read(make([]byte, 1)); err != nil && strings.Contains(err.Error(), "timeout") {
				continue
			}
			s.mu.Lock()
			s.closed[n] = time.Now()
			s.mu.Unlock()
			return
		}
	}
}

// ask sends a request and returns what the caller gets.
func (s *pausingServers) ask(t *testing.T, route routing.Route) (status int, body string, complete bool, took time.Duration) {
	t.Helper()
	gateway := startGateway(t, route, s.serve)
	gateway.Config.Handler.(*Handler).Config().Match("h", "/").Objective = 100 * time.Millisecond
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	started := time.Now()
	response, err := gateway.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil, time.Since(started)
}

func (s *pausingServers) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

const (
	notRunAnswer    = "HTTP/1.1 503 Service Unavailable\r\nId: id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	failedAnswer500 = "HTTP/1.1 500 Internal Server Error\r\nId: id\r\nContent-Length: 6\r\n\r\nfailed"
	silence         = 1300 * time.Millisecond
)

// Guards against attempts at silent servers that are given up for one that is refused, fails, breaks or has nothing to send.
func TestSilentServerIsNotGivenUpForOneThatDoesNotAnswer(t *testing.T) {
	reset := ""
	alternatives := map[string][]any{
		"refuses": {notRunAnswer}, "fails": {failedAnswer500}, "breaks": {reset}, "is silent": {10 * time.Second},
		"sends no event": {chunkedHead + "0\r\n\r\n"}, "sends a head only": {chunkedHead, 10 * time.Second},
	}
	for name, alternative := range alternatives {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if !strings.HasPrefix(name, "sends") {
				plain := &pausingServers{steps: [][]any{{silence, soundAnswer}, alternative}}
				status, _, complete, _ := plain.ask(t, routing.Route{Kind: routing.Idempotent})
				assert.Equal(t, http.StatusOK, status)
				assert.True(t, complete)
				assert.Equal(t, 2, plain.requests())
			}
			stream := &pausingServers{steps: [][]any{append([]any{silence}, asSteps(streamAnswer(events(1, lastEvent)))...), alternative}}
			status, body, complete, _ := stream.ask(t, routing.Route{Kind: routing.Stream, Resumable: true})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, events(1, lastEvent), body)
			assert.True(t, complete)
			assert.Equal(t, 2, stream.requests())
		})
	}
}

func asSteps(writes []string) (steps []any) {
	for _, text := range writes {
		steps = append(steps, text)
	}
	return steps
}

// Guards against streams that are cut because the server that could go on with them refuses.
func TestSilentStreamIsNotGivenUpForServerThatRefuses(t *testing.T) {
	for name, alternative := range map[string][]any{"refuses": {notRunAnswer}, "fails": {failedAnswer500}, "breaks": {""}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			writes := streamAnswer(events(1, 3), events(4, lastEvent))
			s := &pausingServers{steps: [][]any{{writes[0], writes[1], silence, writes[2], writes[3]}, alternative}}
			_, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
			assert.True(t, complete)
			assert.Equal(t, events(1, lastEvent), body)
			assert.Equal(t, 2, s.requests())
		})
	}
}

// Guards against servers that are silent for good and hold up their requests.
func TestServerThatIsSilentForGoodIsReplaced(t *testing.T) {
	never := 20 * time.Second
	plain := &pausingServers{steps: [][]any{{never}, {soundAnswer}}}
	status, _, complete, took := plain.ask(t, routing.Route{Kind: routing.Idempotent})
	assert.Equal(t, http.StatusOK, status)
	assert.True(t, complete)
	assert.Less(t, took, minSilenceTimeout+500*time.Millisecond)
	assert.Eventually(t, func() bool {
		plain.mu.Lock()
		defer plain.mu.Unlock()
		return !plain.closed[0].IsZero()
	}, 500*time.Millisecond, 10*time.Millisecond, "the connection to the silent server is closed")

	begun := streamAnswer(events(1, 3))
	stream := &pausingServers{steps: [][]any{{begun[0], begun[1], never}, asSteps(streamAnswer(events(4, lastEvent)))}}
	_, body, complete, took := stream.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
	assert.True(t, complete)
	assert.Equal(t, events(1, lastEvent), body)
	assert.Less(t, took, minSilenceTimeout+500*time.Millisecond)
	assert.Equal(t, "3", stream.received[1].Get("Last-Event-Id"))
}

// Guards against two servers that work on the same stream for long.
func TestSilentStreamIsGivenUpSoonAfterItGoesOnElsewhere(t *testing.T) {
	begun := streamAnswer(events(1, 3))
	slow := append([]any{700 * time.Millisecond}, asSteps(streamAnswer(events(4, lastEvent)))...)
	s := &pausingServers{steps: [][]any{{begun[0], begun[1], 20 * time.Second}, slow}}
	_, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
	assert.True(t, complete)
	assert.Equal(t, events(1, lastEvent), body)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Less(t, s.closed[0].Sub(s.at[0]), minSilenceTimeout+maxStreamOverlap+150*time.Millisecond)
	assert.Equal(t, 2, len(s.received))
}

// Guards against runs that nobody waits for.
func TestAttemptBesideServerThatGoesOnIsCanceled(t *testing.T) {
	s := &pausingServers{steps: [][]any{{500 * time.Millisecond, soundAnswer}, {20 * time.Second}}}
	status, _, complete, took := s.ask(t, routing.Route{Kind: routing.Idempotent})
	assert.Equal(t, http.StatusOK, status)
	assert.True(t, complete)
	assert.Less(t, took, 800*time.Millisecond)
	assert.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.closed) == 2 && !s.closed[1].IsZero()
	}, 500*time.Millisecond, 10*time.Millisecond)
}

// Guards against second runs of a request that may run once.
func TestUnrepeatableRequestWaitsForSilentServer(t *testing.T) {
	s := &pausingServers{steps: [][]any{{silence, soundAnswer}}}
	status, _, complete, _ := s.ask(t, routing.Route{Kind: routing.Unrepeatable})
	assert.Equal(t, http.StatusOK, status)
	assert.True(t, complete)
	assert.Equal(t, 1, s.requests())
}

// Guards against a server that does not read a request's body and holds the request up, or loses it.
func TestBodyWaitsForSilentServer(t *testing.T) {
	const size = 8 << 20 // more than the kernel buffers
	for name, forGood := range map[string]bool{"for a while": false, "for good": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			requests := 0
			gateway := startGateway(t, routing.Route{Kind: routing.Idempotent}, func(_ net.Listener, conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := reader.Peek(1); err != nil {
					return // a connection without a request
				}
				mu.Lock()
				requests++
				first := requests == 1
				mu.Unlock()
				switch {
				case first && forGood:
					time.Sleep(4 * time.Second)
					return
				case first:
					time.Sleep(silence + 2*time.Second - time.Second)
				case !forGood:
					_, _ = io.WriteString(conn, notRunAnswer)
					return
				}
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				n, _ := io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: "+strconv.Itoa(len(strconv.Itoa(int(n))))+"\r\n\r\n"+strconv.Itoa(int(n)))
			})
			gateway.Config.Handler.(*Handler).Protocol = bodyProtocol{}
			gateway.Config.Handler.(*Handler).Config().Match("h", "/").Objective = 100 * time.Millisecond
			gateway.Config.Handler.(*Handler).bodyMemory.limit = 64 << 20
			request, err := http.NewRequest(http.MethodPost, gateway.URL, strings.NewReader(strings.Repeat("x", size)))
			require.NoError(t, err)
			request.Host = "h"
			response, err := gateway.Client().Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, strconv.Itoa(size), string(data))
		})
	}
}

// bodyProtocol passes the length of the body on.
type bodyProtocol struct{ idServerProtocol }

func (bodyProtocol) EncodeRequestHeader(r ServerRequest) []byte {
	return []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(r.BodyBytes) + "\r\n\r\n")
}

// Guards against servers that are taken for silent because the daemon itself stood still.
func TestStalledDaemonDoesNotTakeServersForSilent(t *testing.T) {
	var writes []any
	for i, text := range streamAnswer(events(1, 1), events(2, 2), events(3, 3), events(4, lastEvent)) {
		if i > 0 {
			writes = append(writes, 20*time.Millisecond)
		}
		writes = append(writes, text)
	}
	s := &pausingServers{steps: [][]any{writes}}
	gateway := startGateway(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond}, s.serve)
	var once sync.Once
	gateway.Config.Handler.(*Handler).Overloaded = func() bool { // it is asked between events
		once.Do(func() { time.Sleep(2 * minSilenceTimeout) })
		return false
	}
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := gateway.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, events(1, lastEvent), string(body))
	assert.Equal(t, 1, s.requests())
}

// Guards against attempts at silent servers that are given up for an answer that then breaks, stops or can't be used.
func TestSilentServerIsNotGivenUpForAnswerThatDoesNotArrive(t *testing.T) {
	const partialHead = "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 100\r\n\r\n"
	never := 10 * time.Second
	for name, alternative := range map[string][]any{
		"stops within its body":  {partialHead + "part", never},
		"breaks within its body": {partialHead + "part"},
	} {
		t.Run("plain/"+name, func(t *testing.T) {
			t.Parallel()
			s := &pausingServers{steps: [][]any{{silence, soundAnswer}, alternative}}
			status, _, complete, took := s.ask(t, routing.Route{Kind: routing.Idempotent})
			assert.Equal(t, http.StatusOK, status)
			assert.True(t, complete)
			assert.Less(t, took, silence+time.Second)
			assert.Equal(t, 2, s.requests())
		})
	}
	notFound := "HTTP/1.1 404 Not Found\r\nId: id\r\nContent-Length: 0\r\n\r\n"
	inChunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, alternative := range map[string][]any{
		"can't go on":               {notFound},
		"sends a comment":           {chunkedHead + inChunk(": wait\n\n"), never},
		"sends a part of an event":  {chunkedHead + inChunk("id: 4\nda"), never},
		"breaks within an event":    {chunkedHead + inChunk("id: 4\nda")},
		"sends an earlier event":    {chunkedHead + inChunk(events(2, 3)), never},
		"leaves an event out":       {chunkedHead + inChunk(events(5, lastEvent)) + "0\r\n\r\n"},
		"sends no event of its own": {chunkedHead + inChunk("data: x\n\n"), never},
	} {
		t.Run("stream/"+name, func(t *testing.T) {
			t.Parallel()
			writes := streamAnswer(events(1, 3), events(4, lastEvent))
			s := &pausingServers{steps: [][]any{{writes[0], writes[1], 450 * time.Millisecond, writes[2], writes[3]}, alternative}}
			_, body, complete, took := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
			assert.True(t, complete)
			assert.Equal(t, events(1, lastEvent), body)
			assert.Less(t, took, silence+time.Second)
		})
		if name == "can't go on" || name == "sends an earlier event" {
			continue
		}
		t.Run("stream without events/"+name, func(t *testing.T) {
			t.Parallel()
			s := &pausingServers{steps: [][]any{append([]any{silence}, asSteps(streamAnswer(events(1, lastEvent)))...), alternative}}
			_, body, complete, took := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true})
			assert.True(t, complete)
			assert.Equal(t, events(1, lastEvent), body)
			assert.Less(t, took, silence+time.Second)
		})
	}
}

// Guards against refusals that promise that nothing ran while an attempt that was sent is in progress.
func TestRequestIsNotRefusedWhileAnAttemptMayRun(t *testing.T) {
	s := &pausingServers{steps: [][]any{{500 * time.Millisecond, notRunAnswer}, {20 * time.Second}}}
	gateway := startGateway(t, routing.Route{Kind: routing.Idempotent, Timeout: 1500 * time.Millisecond}, s.serve)
	gateway.Config.Handler.(*Handler).Config().Match("h", "/").Objective = 100 * time.Millisecond
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := gateway.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	assert.Equal(t, 2, s.requests())
}

// Guards against streams that are cut because the server that could go on with them refuses late.
func TestSilentStreamIsNotLostToServerThatRefusesLate(t *testing.T) {
	writes := streamAnswer(events(1, 3), events(4, lastEvent))
	s := &pausingServers{steps: [][]any{{writes[0], writes[1], silence, writes[2], writes[3]}, {maxStreamOverlap + 150*time.Millisecond, notRunAnswer}, asSteps(streamAnswer(events(4, lastEvent)))}}
	_, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
	assert.True(t, complete)
	assert.Equal(t, events(1, lastEvent), body)
}

// Guards against returns without end, and against returns to a server that was given up for one that may have run the stream.
func TestStreamReturnsOnceToServerThatWasGivenUp(t *testing.T) {
	writes := streamAnswer(events(1, 3), events(4, lastEvent))
	begun, refused := []any{writes[0], writes[1], 20 * time.Second}, []any{maxStreamOverlap + 150*time.Millisecond, notRunAnswer}
	for name, c := range map[string]struct {
		steps    [][]any
		requests int
	}{
		"refused again": {[][]any{begun, refused, {notRunAnswer}}, 3},
		"may have run":  {[][]any{begun, {maxStreamOverlap + 150*time.Millisecond, failedAnswer500}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &pausingServers{steps: c.steps}
			_, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
			assert.False(t, complete)
			assert.Equal(t, events(1, 3), body)
			assert.Equal(t, c.requests, s.requests())
		})
	}
}

// Guards against the answer of a process that is not the chosen server, and is taken for that of the other attempt.
func TestSilentServerIsNotGivenUpForAnswerThatNamesNoRequest(t *testing.T) {
	foreign := "HTTP/1.1 404 Not Found\r\nContent-Length: 6\r\n\r\nabsent"
	s := &pausingServers{steps: [][]any{{silence, soundAnswer}, {foreign}}}
	status, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Idempotent})
	assert.Equal(t, http.StatusOK, status, body)
	assert.True(t, complete)
	assert.Equal(t, 2, s.requests())

	s = &pausingServers{steps: [][]any{append([]any{silence}, asSteps(streamAnswer(events(1, lastEvent)))...), {foreign}}}
	_, body, complete, _ = s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true})
	assert.Equal(t, events(1, lastEvent), body)
	assert.True(t, complete)
}
