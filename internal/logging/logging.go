// Package logging configures the log of the process and provides a logger for each component,
// whose messages begin with a fixed prefix.
package logging

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/zeromicro/go-zero/core/logx"
)

// Component is the name of a component of the program in the log.
type Component string

// The components of the program.
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

// Options configure the log.
type Options struct {
	Level  slog.Level // minimum level
	JSON   bool       // one JSON object per line instead of text
	Writer io.Writer  // standard error if nil
}

// Setup configures the default logger of the process and returns it. It also routes the log of
// go-zero to this logger and turns off go-zero's periodic statistics.
func Setup(o Options) *slog.Logger {
	logger := slog.New(newHandler(o))
	slog.SetDefault(logger)
	// Only the first SetUp has an effect, so the calls by go-zero's servers don't change the log.
	_ = logx.SetUp(logx.LogConf{Level: "debug"})
	logx.DisableStat()
	logx.SetLevel(logx.DebugLevel) // slog filters by level
	logx.SetWriter(&logxWriter{logger: For(Daemon)})
	return logger
}

// For returns the logger of a component, based on the default logger. Call it after Setup.
func For(component Component) *slog.Logger {
	return With(slog.Default(), component)
}

// With returns the logger of a component, based on the given logger.
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

// errorMessage replaces an error attribute by the error's message. slog would otherwise print
// the stack trace that the errors of cockroachdb/errors include.
func errorMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// prefixHandler is a slog.Handler that prepends a prefix to the message of each record.
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
