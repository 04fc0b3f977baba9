// Package recovery keeps a panic in the handling of one message from ending the process.
package recovery

import (
	"log/slog"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// Log is to be deferred. It ends a panic and logs it with its stack; what names what was being handled.
func Log(logger *slog.Logger, what string) {
	if p := recover(); p != nil {
		logger.Error("Panic while handling a message.", "what", what, "panic", p, "stack", string(debug.Stack()))
	}
}

// Handler returns a drpc handler that passes calls to next and turns a panic into an error of the call.
func Handler(next drpc.Handler, logger *slog.Logger) drpc.Handler { return &handler{next, logger} }

type handler struct {
	next   drpc.Handler
	logger *slog.Logger
}

// HandleRPC implements drpc.Handler.
func (h *handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	err = errors.Newf("%s ended by a panic", rpc)
	defer Log(h.logger, rpc)
	err = h.next.HandleRPC(stream, rpc)
	return err
}
