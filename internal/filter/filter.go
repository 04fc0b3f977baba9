// Package filter holds the chain that every request of a caller passes. Each filter
// has one job and a folder of its own.
package filter

import (
	"net/http"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Request is one request of a caller on its way through the chain.
type Request struct {
	ID       string // unique over the fleet
	HTTP     *http.Request
	Writer   *Writer
	Received time.Time
	Config   *ticket.Config // the configuration at arrival

	// Set by the decode filter.
	Service   ticket.Service
	ServiceID string // as the caller named it
	Body      []byte
	Chat      *Chat  // nil for plain services
	Path      string // below a plain service, with the query

	// Set by the identify filter.
	Account ticket.Account

	// Set when a plain service has answered, before the answer is written.
	Answer *Answer

	// Set while the request is attempted, for the record filter.
	Granted    time.Time
	FirstToken time.Time
	Cost       float64
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Write writes the answer to the caller.
func (a *Answer) Write(w *Writer) error {
	for name, value := range a.Header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return result.Wrap(err, result.CallerGone, "the caller went away")
	}
	return nil
}

// Chat is what the chain needs of a chat completion request.
type Chat struct {
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int      // 0 when the caller sets no limit
	Prefix       []uint64 // hashes of ever longer leading parts of the messages
}

// Handler answers a request. An error that it returns has not been written to the caller.
type Handler = chain.Handler[*Request]

// HandlerFunc is a function that is a Handler.
type HandlerFunc = chain.HandlerFunc[*Request]

// Filter wraps the next handler of the chain.
type Filter = chain.Filter[*Request]

// Chain returns the last handler behind the filters, the first of them outermost.
func Chain(last Handler, filters ...Filter) Handler { return chain.Link(last, filters...) }
