// Package logging sets up the process's log and gives each part of the program a
// logger whose messages begin with a fixed prefix.
package logging

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/zeromicro/go-zero/core/logx"
)

// Part names a part of the program in its log.
type Component string

// The parts of the program.
const (
	Config   Component = "config"
	Members  Component = "members"
	Orders   Component = "orders"
	Dispatch Component = "dispatch"
	Entry    Component = "entry"
	Backend  Component = "backend"
	Claims   Component = "claims"
	Peer     Component = "peer"
	Daemon   Component = "daemon"
)

// Options are the settings of the log.
type Options struct {
	Level  slog.Level // lowest level that is written
	JSON   bool       // one JSON object a line in place of text
	Writer io.Writer  // standard error when nil
}

// Setup makes the log of the options the process's default, routes go-zero's log
// into it, and turns off go-zero's periodic statistics.
func Setup(o Options) *slog.Logger {
	logger := slog.New(newHandler(o))
	slog.SetDefault(logger)
	// A later SetUp, as go-zero's servers make, changes nothing: only the first one counts.
	_ = logx.SetUp(logx.LogConf{Level: "debug"})
	logx.DisableStat()
	logx.SetLevel(logx.DebugLevel) // slog's level decides
	logx.SetWriter(&logxWriter{logger: For(Daemon)})
	return logger
}

// For returns the logger of a part over the default log. Call it after Setup.
func For(component Component) *slog.Logger {
	return With(slog.Default(), component)
}

// With returns the logger of a part over the given logger.
func With(logger *slog.Logger, component Component) *slog.Logger {
	return slog.New(&prefixHandler{next: logger.Handler(), prefix: string(component) + ": "})
}

func newHandler(o Options) slog.Handler {
	w := o.Writer
	if w == nil {
		w = os.Stderr
	}
	options := &slog.HandlerOptions{Level: o.Level, ReplaceAttr: errorMessage}
	if o.JSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// shortError replaces an error by its message: slog would print the stack that the errors
// of cockroachdb/errors carry.
func errorMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// prefixHandler puts a prefix before the message of each record.
type prefixHandler struct {
	next   slog.Handler
	prefix string
}

func (h *prefixHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

func (h *prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.next.Handle(ctx, record)
}

func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{next: h.next.WithAttrs(attrs), prefix: h.prefix}
}

func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{next: h.next.WithGroup(name), prefix: h.prefix}
}
