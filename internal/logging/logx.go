package logging

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
)

// logxWriter writes go-zero's records to a slog logger.
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

// callPrefix begins the lines of go-zero's HTTP client, one for each call. The parts that
// make the calls report failures themselves, once.
const httpClientPrefix = "[HTTP]"

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
