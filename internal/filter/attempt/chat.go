package attempt

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/cost"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
)

// whole relays an answer that is sent in one piece.
func (h *handler) whole(ctx context.Context, r *filter.Request, lease *dispatch.Lease) error {
	answer, usage, err := h.opts.Engine.Whole(ctx, lease.Server.Address, r.ID, r.Body)
	if err != nil {
		return failure(err)
	}
	r.FirstToken = time.Now()
	r.Cost = cost.Tokens(usage.PromptTokens, usage.CompletionTokens)
	r.Writer.Header().Set("Content-Type", "application/json")
	_, err = r.Writer.Write(answer)
	return err
}

// stream relays an answer event by event.
func (h *handler) stream(ctx context.Context, r *filter.Request, lease *dispatch.Lease) error {
	body, err := withUsage(r.Body)
	if err != nil {
		return err
	}
	events, err := h.opts.Engine.Stream(ctx, lease.Server.Address, r.ID, body)
	if err != nil {
		return failure(err)
	}
	relay := relay{h: h, r: r, lease: lease, prompt: cost.PromptTokens(len(r.Body))}
	for event, err := range events {
		if err != nil {
			return result.Wrap(err, result.StreamBroken, "the answer broke off")
		}
		if err := relay.event(event); err != nil {
			return err
		}
	}
	if !relay.done {
		return result.New(result.StreamBroken, "the answer broke off before its end")
	}
	return nil
}

// withUsage asks the engine to report its usage at the end of the stream.
func withUsage(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, result.Wrap(err, result.BodyMalformed, "the body is not a JSON object")
	}
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// relay passes the events of one answer to the caller.
type relay struct {
	h      *handler
	r      *filter.Request
	lease  *dispatch.Lease
	prompt int // estimated tokens
	tokens int
	last   time.Time
	done   bool
}

func (a *relay) event(e backend.Event) error {
	if !a.r.Writer.Begun() {
		a.r.Writer.BeginEvents()
	}
	if e.Data == backend.Done {
		a.done = true
		return a.write(e.Data)
	}
	if a.usage(e.Data) && !a.r.Chat.IncludeUsage {
		return nil
	}
	if e.Offset >= 0 {
		a.token()
	}
	return a.write(e.Data)
}

// usage takes in the chunk that reports the usage, and reports whether it is that chunk.
func (a *relay) usage(data string) bool {
	if !strings.Contains(data, `"usage":{`) {
		return false
	}
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *backend.Usage    `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Usage == nil {
		return false
	}
	a.r.Cost = cost.Tokens(chunk.Usage.PromptTokens, chunk.Usage.CompletionTokens)
	return len(chunk.Choices) == 0
}

func (a *relay) token() {
	now := time.Now()
	if a.tokens == 0 {
		a.r.FirstToken = now
	} else {
		a.h.opts.Metrics.ObserveTokenGap(a.r.Account.ID, a.r.Service.ID, now.Sub(a.last))
	}
	a.last = now
	a.tokens++
	a.r.Cost = max(a.r.Cost, cost.Tokens(a.prompt, a.tokens))
	a.lease.Progress(a.r.Cost)
}

func (a *relay) write(data string) error {
	if _, err := a.r.Writer.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return a.r.Writer.Flush()
}
