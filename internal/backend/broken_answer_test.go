package backend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

// uploadBytes is more than the kernel takes for a server that does not read.
const uploadBytes = 8 << 20

func newTestEngineClient(t *testing.T) *EngineClient {
	t.Helper()
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return NewEngineClient(transport)
}

func TestBrokenAnswerOfPlainServiceIsAnError(t *testing.T) {
	bodies := map[string][]byte{"no": nil, "short": []byte("x"), "long": []byte(strings.Repeat("x", uploadBytes))}
	for name, body := range bodies {
		for _, a := range rawserver.Broken("200 OK", "", "part") {
			response, err := NewPlainClient().Call(t.Context(), rawserver.ServeAnswer(t, a), PlainRequest{Method: http.MethodPost, Path: "/", Body: body})
			assert.Error(t, err, "%s upload, %v: %+v", name, a, response)
			assert.NotErrorIs(t, err, ErrNotSent, "%s upload, %v", name, a)
		}
	}
}

func TestWholeAnswerOfPlainServiceIsAnAnswer(t *testing.T) {
	for _, framing := range []rawserver.Framing{rawserver.Length, rawserver.Chunks, rawserver.Connection} {
		a := rawserver.Answer{Body: "whole", Framing: framing, End: rawserver.Whole}
		response, err := NewPlainClient().Call(t.Context(), rawserver.ServeAnswer(t, a), PlainRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		require.NoError(t, err, "%v", a)
		assert.Equal(t, "whole  ", string(response.Body), "%v", a)
	}
}

// readEnd reads a stream and reports whether it has ended as complete.
func readEnd(s *Stream) bool {
	for message, err := range s.Events(noopHooks{}) {
		if _, ended := message.Event.(answer.StreamEnded); ended || err != nil {
			return err == nil
		}
	}
	return false
}

func TestBrokenAnswerOfEngineIsNotCompleteStream(t *testing.T) {
	engine := newTestEngineClient(t)
	upload := []byte(strings.Repeat("x", uploadBytes))
	for _, a := range rawserver.Broken("200 OK", "Content-Type: text/event-stream\r\n", "id: a:0\ndata: {}\n\n") {
		address := rawserver.ServeAnswer(t, a)
		if stream, err := engine.Start(t.Context(), address, "a", upload); err == nil {
			assert.False(t, readEnd(stream), "start: %v", a)
		} else {
			assert.NotErrorIs(t, err, ErrNotSent, "start: %v", a)
		}
		if stream, err := engine.Resume(t.Context(), address, "a", 0); err == nil {
			assert.False(t, readEnd(stream), "resume: %v", a)
		} else {
			assert.False(t, errors.Is(err, ErrAttemptUnknown), "resume: %v", a)
		}
	}
}

func TestInvalidHeadOfEngineIsNotBegunStream(t *testing.T) {
	engine := newTestEngineClient(t)
	for _, a := range rawserver.Broken("200 OK", "", "id: a:0\ndata: {}\n\ndata: [DONE]\n\n") {
		if a.End == rawserver.Whole { // the head is invalid
			_, err := engine.Start(t.Context(), rawserver.ServeAnswer(t, a), "a", []byte("{}"))
			assert.Error(t, err, "%v", a)
		}
	}
}

func TestNothingIsConcludedFromBrokenErrorOfEngine(t *testing.T) {
	engine := newTestEngineClient(t)
	upload := []byte(strings.Repeat("x", uploadBytes))
	for _, reason := range []string{"400 Bad Request", "404 Not Found"} {
		for _, a := range rawserver.Broken(reason, "Content-Type: text/plain\r\n", "part") {
			address := rawserver.ServeAnswer(t, a)
			_, err := engine.Start(t.Context(), address, "a", upload)
			assert.Error(t, err, "%v", a)
			assert.False(t, errors.HasType(err, (*StatusError)(nil)), "start: %v: %v", a, err)
			_, err = engine.Resume(t.Context(), address, "a", 0)
			assert.Error(t, err, "%v", a)
			assert.False(t, errors.Is(err, ErrAttemptUnknown), "resume: %v: %v", a, err)
			err = engine.Cancel(t.Context(), address, "a")
			assert.Error(t, err, "%v", a)
			assert.False(t, errors.Is(err, ErrAttemptUnknown), "cancel: %v: %v", a, err)
		}
	}
}

func TestBrokenAnswerDoesNotConfirmCancel(t *testing.T) {
	for _, a := range rawserver.Broken("200 OK", "", "{}") {
		assert.Error(t, newTestEngineClient(t).Cancel(t.Context(), rawserver.ServeAnswer(t, a), "a"), "%v", a)
	}
}

func TestBrokenAnswerIsNoLoad(t *testing.T) {
	for _, a := range rawserver.Broken("200 OK", "", `{"running":1,"waiting":2}`) {
		load, err := newTestEngineClient(t).Load(t.Context(), rawserver.ServeAnswer(t, a))
		assert.Error(t, err, "%v: %d", a, load)
	}
}

func TestNothingIsConcludedFromBrokenAnswerToOrder(t *testing.T) {
	for _, reason := range []string{"200 OK", "409 Conflict", "404 Not Found", "405 Method Not Allowed"} {
		for _, a := range rawserver.Broken(reason, "", "part") {
			err := SendOrder(t.Context(), rawserver.ServeAnswer(t, a), Order{Kind: "x"}, nil)
			assert.Error(t, err, "%v", a)
			assert.False(t, errors.IsAny(err, ErrOrderSuperseded, ErrOrdersUnsupported), "%v: %v", a, err)
		}
	}
}
