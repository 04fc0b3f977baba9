// Package decode is a filter that reads and parses the request body and looks up the service.
package decode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// ServicesPrefix is the path prefix of requests to plain services.
const ServicesPrefix = "/v1/services/"

// New returns the filter. It refuses bodies longer than maxBytes.
func New(maxBytes int64) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			if err := decode(r, maxBytes); err != nil {
				return err
			}
			return next.Handle(ctx, r)
		})
	}
}

func decode(r *filter.Request, maxBytes int64) error {
	body, err := readBody(r, maxBytes)
	if err != nil {
		return err
	}
	r.Body = body
	if strings.HasPrefix(r.HTTP.URL.Path, ServicesPrefix) {
		return decodePlain(r)
	}
	return decodeChat(r)
}

func readBody(r *filter.Request, maxBytes int64) ([]byte, error) {
	if http1.LacksLength(r.HTTP) {
		r.Writer.Header().Set("Connection", "close")
		return nil, result.New(result.BodyMalformed, "the body has no length")
	}
	body, err := io.ReadAll(http.MaxBytesReader(r.Writer, r.HTTP.Body, maxBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "the body is longer than %d bytes", maxBytes)
	}
	return nil, result.Wrap(err, result.BodyMalformed, "the body could not be read")
}

func decodePlain(r *filter.Request) error {
	rest := strings.TrimPrefix(r.HTTP.URL.EscapedPath(), ServicesPrefix)
	id, path, _ := strings.Cut(rest, "/")
	r.Path = "/" + path
	if r.HTTP.URL.RawQuery != "" {
		r.Path += "?" + r.HTTP.URL.RawQuery
	}
	return setService(r, id, ticket.ServicePlain)
}

type chatBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func decodeChat(r *filter.Request) error {
	var b chatBody
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return result.Wrap(err, result.BodyMalformed, "the body is not a chat completion request: %v", err)
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return result.New(result.BodyMalformed, "the body has no model or no messages")
	}
	r.Chat = &filter.Chat{Model: b.Model, Stream: b.Stream, Prefix: prefixHashes(b.Messages)}
	if b.StreamOptions != nil {
		r.Chat.IncludeUsage = b.StreamOptions.IncludeUsage
	}
	for _, limit := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if limit != nil {
			r.Chat.MaxTokens = *limit
		}
	}
	if r.Chat.MaxTokens < 0 {
		return result.New(result.BodyMalformed, "max_tokens is negative")
	}
	return setService(r, b.Model, ticket.ServiceModel)
}

func setService(r *filter.Request, id string, kind ticket.ServiceKind) error {
	service, ok := r.Config.Service(id)
	if !ok || service.Kind != kind {
		return result.New(result.ServiceUnknown, "there is no %s service %q", kind, id)
	}
	r.ServiceID = id
	r.Service = service
	return nil
}
