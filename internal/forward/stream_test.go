package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/callerconn"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// lastEvent is the ID of the last event of the streams in these tests.
const lastEvent = 6

// events returns the events with the IDs from first to last.
func events(first, last int) (text string) {
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	return text
}

// spoiled returns other bytes in the place of the event.
func spoiled(id int) string { return strings.Repeat("#", len(events(id, id))-2) + "\n\n" }

// chunkedHead is the head of a signed answer in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// streamAnswer returns what a server writes for a complete answer, each text of the body in a write of its own.
func streamAnswer(body ...string) []string {
	writes := []string{chunkedHead}
	for _, text := range body {
		writes = append(writes, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	}
	return append(writes, "0\r\n\r\n")
}

// brokenAnswer returns what a server writes that breaks off after the body.
func brokenAnswer(body ...string) []string {
	writes := streamAnswer(body...)
	return writes[:len(writes)-1]
}

// idServerProtocol passes the ID of the last event on to servers and takes it from callers.
type idServerProtocol struct{ idProtocol }

func (idServerProtocol) DecodeRequest(r *http.Request) (*Envelope, error) {
	return &Envelope{ID: "id", Deadline: 10 * time.Second, PromptTokens: 100, OutputTokens: 30, LastEventID: r.Header.Get("Last-Event-Id"), Resumes: "id"}, nil
}

func (idServerProtocol) EncodeRequestHeader(r ServerRequest) []byte {
	return []byte("GET / HTTP/1.1\r\nHost: h\r\nLast-Event-Id: " + r.LastEventID + "\r\n\r\n")
}

func (idServerProtocol) DecodeAnswer(h http.Header) AnswerInfo {
	return AnswerInfo{ID: h.Get("Id"), Signed: h.Get("Id") != "", NotRun: h.Get("Not-Run") != ""}
}

// oneOrigin knows the version of all streams.
type oneOrigin struct{}

func (oneOrigin) Record(string, string, string) {}
func (oneOrigin) RecordUnknown(string, string)  {}
func (oneOrigin) Excluded(string) []string      { return nil }
func (oneOrigin) Find(_ context.Context, t TakeUp) (string, string, OriginBasis) {
	return t.Route.Targets[0].Service, "v", OriginRecorded
}

// scriptedServers answer the requests that they get with the scripts in turn. A script is a list of writes. Requests without
// one get the rest of the stream.
type scriptedServers struct {
	mu      sync.Mutex
	scripts [][]string
	after   []string // Last-Event-Id of the requests
}

// writeGap parts the writes of a script, so that each one is read by itself.
const writeGap = 10 * time.Millisecond

func (s *scriptedServers) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if answerPing(conn, request) {
		return
	}
	after := request.Header.Get("Last-Event-Id")
	s.mu.Lock()
	var writes []string
	if len(s.after) < len(s.scripts) {
		writes = s.scripts[len(s.after)]
	}
	s.after = append(s.after, after)
	s.mu.Unlock()
	if writes == nil {
		id, _ := strconv.Atoi(after) // empty for a new stream
		writes = streamAnswer(events(id+1, lastEvent))
	}
	for _, text := range writes {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(writeGap)
	}
}

// answerPing answers a request that asks whether the server runs, and returns false for others.
func answerPing(conn net.Conn, request *http.Request) bool {
	if request.Method != http.MethodOptions {
		return false
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") // the daemon may have disconnected
	return true
}

// streamOutcome is what a caller gets.
type streamOutcome struct {
	status   int
	id       string // of the header Id
	body     string
	complete bool
	after    []string // Last-Event-Id of the requests that servers got
}

// startGateway starts a gateway with the route before two servers that pass their connections to serve.
func startGateway(t *testing.T, route routing.Route, serve func(listener net.Listener, conn net.Conn)) *httptest.Server {
	t.Helper()
	h := newBusyHandler(t)
	h.Protocol, h.Origins = idServerProtocol{}, oneOrigin{}
	route.Name, route.Host, route.Prefix, route.Public, route.Engine = "r", "h", "/", true, true
	route.Objective, route.MaxAttempts, route.Targets = 2*time.Second, 2, []routing.Target{{Service: "llm", Weight: 1}}
	config, err := routing.Build(routing.Config{
		Version: 1, Limits: routing.Limits{TokensPerSecond: 2_000_000},
		Services: []routing.Service{{Name: "llm", EngineSlots: 12, MemoryTokens: 372_402}}, Routes: []routing.Route{route},
	})
	require.NoError(t, err)
	h.Config = func() *routing.Config { return config }
	h.Scheduler = scheduler.New(scheduler.Options{
		Zone: "a", FairWindow: 4 * time.Second, Daemons: func() int { return 1 },
		RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	})
	var servers []routing.Server
	for i := range 2 {
		servers = append(servers, routing.Server{
			ID: fmt.Sprint("e", i), Service: "llm", Zone: "a", Slots: 12, State: routing.Ready, Version: "v", Address: listen(t, serve),
		})
	}
	h.Scheduler.SetServers(servers, config)
	gateway := httptest.NewUnstartedServer(h)
	gateway.Config.ConnContext = callerconn.With
	gateway.Start()
	t.Cleanup(gateway.Close)
	return gateway
}

// readStream sends a request to a gateway before a fleet of two servers that answer with the scripts, in this order.
func readStream(t *testing.T, lastEventID string, resumable bool, scripts ...[]string) streamOutcome {
	t.Helper()
	s := &scriptedServers{scripts: scripts}
	gateway := startGateway(t, routing.Route{Kind: routing.Stream, Resumable: resumable}, func(_ net.Listener, conn net.Conn) { s.serve(conn) })
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	if lastEventID != "" {
		request.Header.Set("Last-Event-Id", lastEventID)
	}
	response, err := gateway.Client().Transport.RoundTrip(request) // follows no redirect
	if err != nil {
		return streamOutcome{after: s.after}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamOutcome{response.StatusCode, response.Header.Get("Id"), string(body), err == nil, s.after}
}

// streamCase is an answer with a fault, and what the caller must have when it ends.
type streamCase struct {
	name  string
	first []string // the answer of the first server
}

// assertWholeOrBroken asserts that a caller has a stream that is complete from the event on, or knows that it is not.
func assertWholeOrBroken(t *testing.T, outcome streamOutcome, first int) {
	t.Helper()
	whole := events(first, lastEvent)
	if outcome.status == http.StatusOK && outcome.complete {
		assert.Equal(t, whole, outcome.body)
	} else if outcome.status == http.StatusOK {
		assert.True(t, strings.HasPrefix(whole, outcome.body), "events before the break: %q", outcome.body)
	}
}

// Guards against streams that end as complete without intact events, or with bytes that are none, after a faulty event.
func TestStreamWithFaultyEventIsContinuedBehindItsLastIntactOne(t *testing.T) {
	faulty := []streamCase{
		{"spoiled, within a read", streamAnswer(events(1, 2) + spoiled(3) + events(4, 6))},
		{"spoiled, first of a read", streamAnswer(events(1, 2), spoiled(3)+events(4, 6))},
		{"spoiled, last of a read", streamAnswer(events(1, 2)+spoiled(3), events(4, 6))},
		{"spoiled, in a read of its own", streamAnswer(events(1, 2), spoiled(3), events(4, 6))},
		{"spoiled, in two reads", streamAnswer(events(1, 2)+spoiled(3)[:5], spoiled(3)[5:]+events(4, 6))},
		{"spoiled, the first event", streamAnswer(spoiled(1) + events(2, 6))},
		{"spoiled, the first event in a read of its own", streamAnswer(spoiled(1), events(2, 6))},
		{"spoiled, the last event", streamAnswer(events(1, 5) + spoiled(6))},
		{"spoiled, the last event in a read of its own", streamAnswer(events(1, 5), spoiled(6))},
		{"end of an event is spoiled", streamAnswer(events(1, 2) + "id: 3\ndata: token 3\n#" + events(4, 6))},
		{"end of an event is missing", streamAnswer(events(1, 2) + "id: 3\ndata: tok\n" + events(4, 6))},
		{"data is spoiled", streamAnswer(events(1, 2) + "id: 3\n#############\n\n" + events(4, 6))},
		{"repeated, within a read", streamAnswer(events(1, 3) + events(2, 6))},
		{"repeated, first of a read", streamAnswer(events(1, 3), events(3, 6))},
		{"repeated, in the place of the last", streamAnswer(events(1, 5), events(5, 5))},
		{"missing, within a read", streamAnswer(events(1, 2) + events(4, 6))},
		{"missing, the first event", streamAnswer(events(2, 6))},
		{"missing, between reads", streamAnswer(events(1, 2), events(4, 6))},
		{"out of order", streamAnswer(events(1, 2) + events(4, 4) + events(3, 3) + events(5, 6))},
	}
	for _, test := range faulty {
		t.Run(test.name, func(t *testing.T) {
			outcome := readStream(t, "", true, test.first)
			assertWholeOrBroken(t, outcome, 1)
			assert.True(t, outcome.complete && outcome.status == http.StatusOK, "continued by the second server: %+v", outcome)
			outcome = readStream(t, "", false, test.first)
			assertWholeOrBroken(t, outcome, 1)
		})
	}
	// The spoiled bytes may have been an event.
	spoiledEnd := streamAnswer(events(1, lastEvent) + spoiled(lastEvent+1))
	for _, resumable := range []bool{true, false} {
		outcome := readStream(t, "", resumable, spoiledEnd)
		assert.Equal(t, events(1, lastEvent), outcome.body)
		assert.False(t, outcome.complete)
	}
}

// Guards against a success without body and signature that the caller gets in the place of the answer.
func TestInformationalResponseIsNotTheAnswer(t *testing.T) {
	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 3), "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 099 Other\r\n\r\n",
	} {
		answer := append([]string{interim}, streamAnswer(events(1, lastEvent))...)
		first := readStream(t, "", true, answer)
		assert.Equal(t, events(1, lastEvent), first.body, interim)
		assert.True(t, first.complete, interim)
		assert.Equal(t, "id", first.id, "%s: headers of the answer", interim)
		second := readStream(t, "", true, brokenAnswer(events(1, 3)), answer)
		assertWholeOrBroken(t, second, 1)
	}
}

// Guards against callers that resume a stream and get events twice, or lack some, in an answer that ends as complete.
func TestCallerThatResumesGetsTheEventsBehindItsLastOne(t *testing.T) {
	const position = 3
	for _, test := range []streamCase{
		{"sound", streamAnswer(events(4, 6))},
		{"begins anew", streamAnswer(events(1, 6))},
		{"begins anew, in several reads", streamAnswer(events(1, 1), events(2, 4), events(5, 6))},
		{"repeats the last event", streamAnswer(events(3, 6))},
		{"leaves an event out", streamAnswer(events(5, 6))},
		{"leaves an event out after a repeat", streamAnswer(events(2, 2) + events(4, 6))},
		{"first event is spoiled", streamAnswer(spoiled(4) + events(5, 6))},
		{"goes on and repeats", streamAnswer(events(4, 4) + events(3, 3) + events(5, 6))},
		{"breaks before the first new event", brokenAnswer(events(1, 2))},
	} {
		for _, resumable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumable %t", test.name, resumable), func(t *testing.T) {
				outcome := readStream(t, fmt.Sprint(position), resumable, test.first)
				assertWholeOrBroken(t, outcome, position+1)
				assert.True(t, !resumable || outcome.complete && outcome.status == http.StatusOK, "continued by the second server: %+v", outcome)
			})
		}
	}
	assert.Equal(t, http.StatusBadRequest, readStream(t, "none", true).status)
}

// Guards against second runs that go on behind the events of a stream that may not be resumed.
func TestStreamThatIsNotResumableIsNotTakenUp(t *testing.T) {
	for _, lastEventID := range []string{"0", "3", fmt.Sprint(lastEvent), "none"} {
		outcome := readStream(t, lastEventID, false)
		assert.Equal(t, http.StatusBadRequest, outcome.status, lastEventID)
		assert.Empty(t, outcome.after, "requests at servers")
	}
}

// rawAnswer returns what a server writes for an answer with the status line, the headers and the body.
func rawAnswer(status, headers, body string) []string {
	return []string{fmt.Sprintf("HTTP/1.1 %s\r\nId: id\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)}
}

// answersWithoutNextEvent are answers to a request for a stream that hold no event that continues it.
var answersWithoutNextEvent = []streamCase{
	{"no event", streamAnswer()},
	{"no body", rawAnswer("200 OK", "", "")},
	{"204", []string{"HTTP/1.1 204 No Content\r\nId: id\r\n\r\n"}},
	{"205", rawAnswer("205 Reset Content", "", "")},
	{"206 with other bytes", rawAnswer("206 Partial Content", "", "part")},
	{"comments", streamAnswer(": one\n\n", ": two\n\n")},
	{"other bytes", streamAnswer("error\n\nmore of it\n\n")},
	{"other bytes without an end", streamAnswer("error")},
	{"JSON", rawAnswer("200 OK", "Content-Type: application/json\r\n", "{\"error\":1}\n\n")},
	{"a head in its body", streamAnswer("HTTP/1.1 500 Failed\r\nId: id\r\nContent-Length: 3\r\n\r\nno\n")},
	{"event without ID", streamAnswer("data: the request failed\n\n")},
	{"no event, ends with the connection", []string{"HTTP/1.1 200 OK\r\nId: id\r\n\r\n"}},
	{"301", rawAnswer("301 Moved", "Location: /\r\n", "moved\n\n")},
	{"304", []string{"HTTP/1.1 304 Not Modified\r\nId: id\r\n\r\n"}},
	{"404", rawAnswer("404 Not Found", "", "not found\n\n")},
	{"429", rawAnswer("429 Too Many Requests", "", "later\n\n")},
	{"500", rawAnswer("500 Failed", "", "failed\n\n")},
	{"500 that ends with the connection", []string{"HTTP/1.1 500 Failed\r\nId: id\r\n\r\n", "failed\n\n"}},
	{"not run", rawAnswer("503 Busy", "Not-Run: 1\r\n", "busy\n\n")},
	{"no answer", []string{"failed\n\n"}},
}

// Guards against streams that break off, and get the answer of the next server as events or as their end.
func TestAnswerThatDoesNotContinueBrokenStreamIsNotPassedOn(t *testing.T) {
	first := brokenAnswer(events(1, 3))
	for _, test := range answersWithoutNextEvent {
		t.Run(test.name, func(t *testing.T) {
			outcome := readStream(t, "", true, first, test.first)
			assert.Equal(t, []string{"", "3"}, outcome.after)
			assert.Equal(t, http.StatusOK, outcome.status)
			assert.Equal(t, events(1, 3), outcome.body)
			assert.False(t, outcome.complete)
		})
	}
	for _, test := range []streamCase{
		{"leaves an event out", streamAnswer(events(5, 6))},
		{"repeats the last event", streamAnswer(events(3, 3))},
		{"begins anew and breaks", brokenAnswer(events(1, 5))},
		{"spoils the next event", streamAnswer(spoiled(4) + events(5, 6))},
	} {
		t.Run(test.name, func(t *testing.T) { assertWholeOrBroken(t, readStream(t, "", true, first, test.first), 1) })
	}
}

// Guards against an empty stream that passes for a complete one.
func TestStreamWithoutNextEventIsNotComplete(t *testing.T) {
	for _, test := range answersWithoutNextEvent {
		for _, position := range []string{"", "3"} {
			outcome := readStream(t, position, true, test.first, test.first)
			assert.NotEqual(t, http.StatusOK, outcome.status, "%s: after %q", test.name, position)
			outcome = readStream(t, position, false, test.first, test.first)
			assert.NotEqual(t, http.StatusOK, outcome.status, "%s: not resumable, after %q", test.name, position)
		}
	}
}
