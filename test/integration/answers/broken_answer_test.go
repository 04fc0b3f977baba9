package answers

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

// startWithAnswers starts a daemon and, for each answer, a service "raw-<index>" of its kind with one server that gives this answer.
func startWithAnswers(t *testing.T, kind ticket.ServiceKind, answers []rawserver.Answer) *cluster.Fleet {
	t.Helper()
	f := startFleet(t, 1)
	for i, a := range answers {
		id := fmt.Sprint("raw-", i)
		address := rawserver.Serve(t, func(r *http.Request) rawserver.Answer {
			attemptID := r.Header.Get("X-Request-Id")
			if attemptID == "" { // the attempt is resumed
				attemptID = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
			}
			named := a
			named.Body = strings.ReplaceAll(a.Body, "ID", attemptID)
			return named
		})
		f.NextTicket.Services = append(f.NextTicket.Services, ticket.Service{ID: id, Kind: kind, IdleLimit: ticket.Duration(idleLimit)})
		f.NextTicket.Servers = append(f.NextTicket.Servers, ticket.Server{
			ID: id, Service: id, Address: address, Zone: "z1", Slots: 4, State: ticket.ServerJoined,
		})
	}
	f.SubmitNext()
	return f
}

// Guards against answers of plain services that are not whole, or have an invalid head, and are passed on, or count as not run.
func TestBrokenAnswerOfPlainServiceIsNotPassedOn(t *testing.T) {
	t.Parallel()
	answers := rawserver.Broken("200 OK", "Content-Type: text/plain\r\n", "part")
	for _, status := range []string{"099", "999"} {
		answers = append(answers, rawserver.Answer{StatusLine: "HTTP/1.1 " + status + " Odd", Body: "part", Framing: rawserver.Length, End: rawserver.Whole})
	}
	answers = append(answers, rawserver.Answer{Body: "part", Framing: rawserver.Connection, End: rawserver.ServerEnds})
	f := startWithAnswers(t, ticket.ServicePlain, answers)
	upload := strings.Repeat("x", 4<<20)
	var requests sync.WaitGroup
	for i, a := range answers {
		requests.Go(func() {
			status, header, text := f.Call(0, "key-small", http.MethodPost, fmt.Sprintf("/v1/services/raw-%d/", i), upload)
			assert.Equal(t, http.StatusBadGateway, status, "%v: %s", a, text)
			assert.Equal(t, "3001", header.Get("X-Result-Code"), "%v: %s", a, text)
			assert.Equal(t, "unknown", header.Get("X-Outcome"), "%v", a)
		})
	}
	requests.Wait()
}

// Guards against answers of engines that are not whole, or have an invalid head, and pass for complete, or count as not run.
func TestBrokenAnswerOfEngineIsNotComplete(t *testing.T) {
	t.Parallel()
	const sse, final = "Content-Type: text/event-stream\r\n", `id: ID:0
data: {"choices":[{"delta":{"content":"x"},"finish_reason":"length"}]}

`
	answers := slices.DeleteFunc(rawserver.Broken("200 OK", sse, final+"data: [DONE]\n\n"), func(a rawserver.Answer) bool {
		return a.End != rawserver.Whole // the end marker tells that the stream is whole
	})
	answers = append(answers, rawserver.Broken("200 OK", sse, final)...)
	f := startWithAnswers(t, ticket.ServiceModel, answers)
	var requests sync.WaitGroup
	for i, a := range answers {
		for _, stream := range []bool{true, false} {
			requests.Go(func() {
				got, err := send(newChatRequest(t, f.Daemons[0].Address, bodyFor(fmt.Sprint("raw-", i), 5, stream)))
				assert.NoError(t, err, "%v, stream %t", a, stream)
				assert.False(t, got.complete, "%v, stream %t: %+v", a, stream, got)
				assert.Contains(t, []string{"2001", "3001", "3002", "3010"}, got.code, "%v, stream %t: %+v", a, stream, got)
				assert.Contains(t, []string{"partial", "unknown"}, got.outcome, "%v, stream %t: %+v", a, stream, got)
			})
		}
	}
	requests.Wait()
}
