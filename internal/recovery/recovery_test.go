package recovery

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"storj.io/drpc"
)

type handlerFunc func() error

func (f handlerFunc) HandleRPC(drpc.Stream, string) error { return f() }

func TestHandlerTurnsPanicIntoError(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	err := Handler(handlerFunc(func() error { panic("boom") }), logger).HandleRPC(nil, "Pull")
	assert.ErrorContains(t, err, "Pull ended by a panic")
	assert.Contains(t, log.String(), "panic=boom")
	assert.Contains(t, log.String(), "recovery_test.go", "the stack")
}

func TestHandlerPassesResults(t *testing.T) {
	failure := errors.New("failure")
	logger := slog.New(slog.DiscardHandler)
	assert.NoError(t, Handler(handlerFunc(func() error { return nil }), logger).HandleRPC(nil, "Pull"))
	assert.Equal(t, failure, Handler(handlerFunc(func() error { return failure }), logger).HandleRPC(nil, "Pull"))
}
