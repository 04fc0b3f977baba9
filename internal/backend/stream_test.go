package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/answer"
)

type noopHooks struct{}

func (noopHooks) BeforeRead() error { return nil }
func (noopHooks) AfterRead()        {}

func TestParseMessage(t *testing.T) {
	cases := map[string]answer.Event{
		"id: a:3\ndata: {\"x\":1}\n\n":                                        answer.Received{AttemptID: "a", Offset: 3},
		"id: a:b:3\ndata: {}\n\n":                                             answer.Received{AttemptID: "a:b", Offset: 3},
		"id: a:0\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n":     answer.Received{AttemptID: "a", Final: true},
		"id: a:0\ndata: {\"choices\":[{\"finish_reason\" : null}]}\n\n":       answer.Received{AttemptID: "a"},
		"id: a:0\ndata: {\"c\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}\n\n":   answer.Received{AttemptID: "a"},
		"id: a:4\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\n": answer.Received{AttemptID: "a", Offset: 4, Final: true},
		"id: a:-1\ndata: {}\n\n":                                              answer.Received{},
		"id: 7\ndata: {}\n\n":                                                 answer.Received{},
		"data: {}\n\n":                                                        answer.Received{Offset: answer.NoOffset},
		"data: [DONE]\n\n":                                                    answer.StreamEnded{},
		"event: error\ndata: {}\n\n":                                          answer.EngineError{},
		"data: {\"error\":{\"code\":500}}\n\n":                                answer.EngineError{},
	}
	for raw, want := range cases {
		stream := &Stream{body: io.NopCloser(strings.NewReader(raw))}
		for m, err := range stream.Events(noopHooks{}) {
			require.NoError(t, err)
			require.Equal(t, want, m.Event, raw)
			break
		}
	}
}

func TestParseUsage(t *testing.T) {
	usage, usageOnly, found := ParseUsage(`{"choices":[],"usage": {"prompt_tokens":2,"completion_tokens":3}}`)
	require.Equal(t, Usage{PromptTokens: 2, CompletionTokens: 3}, usage)
	require.True(t, usageOnly && found)
	_, _, found = ParseUsage(`{"choices":[{"delta":{"content":"\"usage\":{}"}}],"usage":null}`)
	require.False(t, found)
}

// TestStartReturnsErrNotSentOnlyIfUnsent checks that only a request that cannot have reached a server is
// reported as not sent: a server that reads the request and closes the connection may have run it.
func TestStartReturnsErrNotSentOnlyIfUnsent(t *testing.T) {
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	engine := NewEngineClient(transport)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = engine.Start(t.Context(), address, "a", []byte("{}"))
	require.True(t, errors.Is(err, ErrNotSent), "%v", err)

	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	_, err = engine.Start(t.Context(), server.Listener.Addr().String(), "a", []byte("{}"))
	require.Error(t, err)
	require.False(t, errors.Is(err, ErrNotSent), "%v", err)
}

// TestStartIsNotResentOnReusedConnection sends a request on a reused connection, which the engine closes
// after it has read the request. The transport must not resend the request.
func TestStartIsNotResentOnReusedConnection(t *testing.T) {
	requestIDs := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requestIDs <- r.Header.Get(HeaderRequestID)
		if r.Header.Get(HeaderRequestID) == "second" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "id: first:0\ndata: {}\n\ndata: [DONE]\n\n")
	}))
	defer server.Close()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	engine := NewEngineClient(transport)
	stream, err := engine.Start(t.Context(), server.Listener.Addr().String(), "first", []byte("{}"))
	require.NoError(t, err)
	for m, err := range stream.Events(noopHooks{}) {
		require.NoError(t, err)
		if _, ended := m.Event.(answer.StreamEnded); ended {
			break
		}
	}
	_, err = engine.Start(t.Context(), server.Listener.Addr().String(), "second", []byte("{}"))
	require.Error(t, err)
	require.Len(t, requestIDs, 2, "the engine must receive each request once")
}

// FuzzStream parses arbitrary streams. The caller must receive only the offsets 0, 1, 2, … of its own
// attempt, and the end marker only after the event with the finish reason.
func FuzzStream(f *testing.F) {
	formatEvent := func(attemptID string, offset int, data string) string {
		return fmt.Sprintf("id: %s:%d\ndata: %s\n\n", attemptID, offset, data)
	}
	final := `{"choices":[{"finish_reason":"stop"}]}`
	for _, seed := range []string{
		formatEvent("a", 0, "{}") + formatEvent("a", 1, final) + "data: [DONE]\n\n",
		formatEvent("a", 0, "{}") + formatEvent("b", 1, final) + "data: [DONE]\n\n",
		formatEvent("a", 0, "{}") + formatEvent("a", 0, "{}") + formatEvent("a", 2, final),
		"data: {}\n\n", "data: [DONE]\n\n", "event: error\ndata: x\n\n", "id: a:0\r\ndata: {}\r\r: ping\n\nid:\n\n",
		formatEvent("a", 0, "{\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0}]}}]}"), "id: a:99999999999999999999\ndata: {}\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		now := time.Unix(1000, 0)
		machine := answer.New(answer.Options{AttemptID: "a", Repeatable: true, Deadline: now.Add(time.Second)})
		stream := &Stream{body: io.NopCloser(strings.NewReader(raw)), attemptID: "a"}
		var assembler answer.Assembler
		forwarded, final := 0, false
		for m, err := range stream.Events(noopHooks{}) {
			if err != nil {
				return
			}
			action := machine.Step(now, m.Event)
			switch action.Kind {
			case answer.Forward:
				received := m.Event.(answer.Received)
				require.Equal(t, "a", received.AttemptID)
				require.Equal(t, forwarded, received.Offset)
				forwarded++
				final = final || received.Final
				if assembler.Add(m.Data) == nil {
					_, err := assembler.JSON()
					require.NoError(t, err)
				}
				ParseUsage(m.Data)
			case answer.Finish:
				require.True(t, final)
				return
			case answer.Ignore:
			default:
				return
			}
		}
	})
}
