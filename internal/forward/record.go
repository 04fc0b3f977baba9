package forward

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/result"
)

// record is the outermost filter: it logs and counts how the request ended.
func (h *Handler) record(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		err := next.Handle(ctx, c)
		h.observe(c, err)
		return err
	})
}

// observe writes the one line that explains the request afterwards, and its metrics.
func (h *Handler) observe(c *call, err error) {
	took := time.Since(c.arrived)
	code := result.CodeOf(err)
	service, id, route := "", "", ""
	if c.service != nil {
		service = c.service.Name
	}
	if c.envelope != nil {
		id = c.envelope.RequestID
	}
	if c.route != nil {
		route = c.route.Name
	}
	h.Metrics.CountResult(code, service)
	h.Metrics.ObserveAnswer(c.account, service, took)
	if c.first > 0 {
		h.Metrics.ObserveFirstToken(c.account, service, c.first)
	}
	attrs := []slog.Attr{
		slog.String("request", id), slog.String("route", route), slog.String("account", c.account),
		slog.String("caller", c.http.RemoteAddr), slog.Int("code", int(code)), slog.Duration("took", took), slog.Duration("first", c.first),
		slog.Int("events", c.events),
	}
	if c.config != nil {
		attrs = append(attrs, slog.Uint64("config", c.config.Version))
	}
	for i, a := range c.attempts {
		attrs = append(attrs, slog.Any("attempt"+strconv.Itoa(i+1), a))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", errorText(err)))
	}
	h.Logger.LogAttrs(context.Background(), slog.LevelInfo, "Request ended.", attrs...)
}

func errorText(err error) string {
	text := err.Error()
	if i := strings.IndexByte(text, '\n'); i >= 0 {
		text = text[:i]
	}
	return text
}
