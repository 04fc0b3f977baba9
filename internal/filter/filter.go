// Package filter defines the request, the answer and the filter chain that handles every request
// of a caller. Each filter is a package below this one.
package filter

import (
	"net/http"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Request is a request of a caller and the state that the filters attach to it. It is not safe for
// concurrent use.
type Request struct {
	ID       string // unique in the fleet
	HTTP     *http.Request
	Writer   *Writer
	Received time.Time
	Config   *ticket.Config // configuration when the request was received

	// Set by the decode filter.
	Service   ticket.Service
	ServiceID string // service ID in the request
	Body      []byte
	Chat      *Chat  // nil for plain services
	Path      string // path below the prefix of a plain service, with the query string

	// Set by the identify filter.
	Account ticket.Account

	// Set after a plain service has answered and before the answer is written.
	Answer *Answer

	// Set by the attempt handler.
	Granted    time.Time // when a slot was granted; zero if none was
	FirstToken time.Time // when the first token was received; zero if none was
	Cost       float64   // cost of the current attempt so far, see package cost
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Write writes the answer to the caller. A failed write is a CallerGone error.
func (a *Answer) Write(w *Writer) error {
	for name, value := range a.Header {
		w.Header().Set(name, value)
	}
	return w.WriteComplete(a.Status, a.Body)
}

// Chat holds the fields of a chat completion request that the filters use.
type Chat struct {
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int      // maximum number of generated tokens; 0 for no limit
	Prefix       []uint64 // hashes of increasingly long prefixes of the messages
}

// Handler answers a request. If it returns an error, it has not written that error to the caller.
type Handler = chain.Handler[*Request]

// HandlerFunc adapts a function to a Handler.
type HandlerFunc = chain.HandlerFunc[*Request]

// Filter returns a handler that wraps the next handler of the chain.
type Filter = chain.Filter[*Request]

// Chain wraps the last handler with the filters. The first filter is the outermost.
func Chain(last Handler, filters ...Filter) Handler { return chain.Link(last, filters...) }
