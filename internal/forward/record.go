package forward

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// record is the outermost filter. It logs the result of the request and updates the metrics, and turns a panic of the next handler
// into an error.
func (h *Handler) record(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		err := h.handleRecovered(ctx, c, next)
		h.logResult(c, err)
		return err
	})
}

// handleRecovered passes the request to the next handler. It returns an error after a panic: the request may have run.
func (h *Handler) handleRecovered(ctx context.Context, c *call, next chain.Handler[*call]) (err error) {
	defer func() {
		if p := recovery.NewPanic(recover()); p != nil {
			h.recordPanic(c, p)
			err = result.Wrap(p, result.Internal, "the daemon failed")
		}
	}()
	return next.Handle(ctx, c)
}

// recordPanic logs and counts a panic.
func (h *Handler) recordPanic(c *call, p *recovery.Panic) {
	h.Metrics.CountPanic(telemetry.Callers)
	_, id, route := c.names()
	h.Logger.Error("Panic while handling a request.", "request", id, "route", route, "account", c.account,
		"caller", c.request.RemoteAddr, "begun", c.answerStarted, "panic", p.Value, "stack", p.Stack)
}

// names returns the service, the ID and the route of the request as far as they are known.
func (c *call) names() (service, id, route string) {
	if c.service != nil {
		service = c.service.Name
	}
	if c.envelope != nil {
		id = c.envelope.ID
	}
	if c.route != nil {
		route = c.route.Name
	}
	return service, id, route
}

// logResult writes the log line and the metrics of a request that has ended. A panic of its own doesn't change the result.
func (h *Handler) logResult(c *call, err error) {
	defer func() {
		if p := recovery.NewPanic(recover()); p != nil {
			h.recordPanic(c, p)
		}
	}()
	duration := time.Since(c.arrivedAt)
	code := result.CodeOf(err)
	service, id, route := c.names()
	h.meterWait(c)
	h.Metrics.CountResult(code, service)
	h.Metrics.ObserveAnswer(c.account, service, duration)
	if c.timeToFirstEvent > 0 {
		h.Metrics.ObserveFirstToken(c.account, service, c.timeToFirstEvent)
	}
	attrs := []slog.Attr{
		slog.String("request", id), slog.String("route", route), slog.String("account", c.account),
		slog.String("caller", c.request.RemoteAddr), slog.Int("code", int(code)), slog.Duration("took", duration), slog.Duration("first", c.timeToFirstEvent),
		slog.Int("events", c.events.Delivered()), slog.Duration("gap", c.longestGap),
	}
	if c.envelope != nil && c.envelope.LastEventID != "" {
		attrs = append(attrs, slog.String("resumes", c.envelope.Resumes), slog.String("after", c.envelope.LastEventID), slog.String("origin", string(c.originBasis)))
	}
	if c.config != nil {
		attrs = append(attrs, slog.Uint64("config", c.config.Version))
	}
	if err != nil {
		if !c.deadline.IsZero() {
			attrs = append(attrs, slog.Duration("left", time.Until(c.deadline)))
		}
		if now := h.Config(); now != nil {
			attrs = append(attrs, slog.Uint64("config_at_end", now.Version))
		}
	}
	if c.admission != nil {
		attrs = append(attrs, slog.Any("admission", c.admission))
	}
	for i, a := range c.attempts {
		attrs = append(attrs, slog.Any("attempt"+strconv.Itoa(i+1), a))
	}
	if c.envelope != nil && anyAnswerBroke(c.attempts) {
		attrs = append(attrs, slog.String("parts", formatSharedParts(c.envelope.Parts)), slog.String("digest", strconv.FormatUint(c.digest(), 16)))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", firstLine(err)))
	}
	h.Logger.LogAttrs(context.Background(), slog.LevelInfo, "Request ended.", attrs...)
}

// anyAnswerBroke reports whether the server may have run the request in an attempt that got no complete answer.
func anyAnswerBroke(attempts []attemptRecord) bool {
	return slices.ContainsFunc(attempts, func(a attemptRecord) bool {
		return a.progress == maybeRun || a.progress == partlyForwarded
	})
}

// formatSharedParts returns the hashed IDs of the prompt parts that other requests may share, all but the last one, in
// hexadecimal.
func formatSharedParts(parts []placement.Part) string {
	var b strings.Builder
	for i, p := range parts[:max(0, len(parts)-1)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(p.ID, 16))
	}
	return b.String()
}

// firstLine returns the error's text up to its first line break.
func firstLine(err error) string {
	text := err.Error()
	if i := strings.IndexByte(text, '\n'); i >= 0 {
		text = text[:i]
	}
	return text
}
