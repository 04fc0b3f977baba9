package logging

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
)

// logxWriter is a logx.Writer that passes the records of go-zero to a slog logger.
type logxWriter struct {
	logger *slog.Logger
}

var _ logx.Writer = (*logxWriter)(nil)

func (w *logxWriter) Alert(v any)                          { w.write(slog.LevelError, v, nil) }
func (w *logxWriter) Debug(v any, fields ...logx.LogField) { w.write(slog.LevelDebug, v, fields) }
func (w *logxWriter) Error(v any, fields ...logx.LogField) { w.write(slog.LevelError, v, fields) }
func (w *logxWriter) Info(v any, fields ...logx.LogField)  { w.write(slog.LevelInfo, v, fields) }
func (w *logxWriter) Severe(v any)                         { w.write(slog.LevelError, v, nil) }
func (w *logxWriter) Slow(v any, fields ...logx.LogField)  { w.write(slog.LevelWarn, v, fields) }
func (w *logxWriter) Stack(v any)                          { w.write(slog.LevelError, v, nil) }
func (w *logxWriter) Stat(v any, fields ...logx.LogField)  { w.write(slog.LevelDebug, v, fields) }
func (w *logxWriter) Close() error                         { return nil }

// httpClientPrefix is the prefix of the log lines of go-zero's HTTP client. There is one per
// call, so they are logged at debug level; the callers log failures themselves.
const httpClientPrefix = "[HTTP]"

// write logs a value and its fields at the level, or at debug level if it is a line of the HTTP
// client.
func (w *logxWriter) write(level slog.Level, v any, fields []logx.LogField) {
	ctx := context.Background()
	if message, ok := v.(string); ok && strings.HasPrefix(message, httpClientPrefix) {
		level = slog.LevelDebug
	}
	if !w.logger.Enabled(ctx, level) {
		return
	}
	attrs := make([]slog.Attr, 0, len(fields))
	for _, f := range fields {
		attrs = append(attrs, slog.Any(f.Key, f.Value))
	}
	w.logger.LogAttrs(ctx, level, fmt.Sprint(v), attrs...)
}
