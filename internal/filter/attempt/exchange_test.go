package attempt

import (
	"bytes"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

// Guards against attempts whose log line does not tell how their answer has ended.
func TestLogTellsHowAnswerHasEnded(t *testing.T) {
	for _, test := range []struct {
		framing rawserver.Framing
		end     rawserver.End
		want    []string
	}{
		{rawserver.Length, rawserver.Whole, []string{"level=DEBUG", "uploaded=true", "framing=length", `end_basis=""`}},
		{rawserver.Connection, rawserver.Whole, []string{"level=INFO", "uploaded=true", "framing=connection", "end=closed", "end_call=read", `end_basis="ping on a connection from before the request"`}},
		{rawserver.Chunks, rawserver.Closed, []string{"level=INFO", "framing=chunks", "end=closed", `end_basis=""`, "unexpected EOF"}},
		{rawserver.Connection, rawserver.ResetBeforeUpload, []string{"level=INFO", "uploaded=false", "framing=connection", "end=aborted", `end_basis=""`}},
	} {
		var log bytes.Buffer
		logger := slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
		var exchange http1.Exchange
		address := rawserver.ServeAnswer(t, rawserver.Answer{Body: "body", Framing: test.framing, End: test.end})
		response, err := backend.NewPlainClient().Call(http1.WithExchange(t.Context(), &exchange), address, backend.PlainRequest{
			Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20),
		})
		endBasis := ""
		if err == nil && response.EndConfirmed {
			endBasis = "ping on a connection from before the request"
		}
		logAttempt(logger, "a", "s", &exchange, endBasis, err)
		for _, want := range test.want {
			assert.Contains(t, log.String(), want, "%s, %s", test.framing, test.end)
		}
	}
}
