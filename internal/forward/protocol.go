// Package forward is a reverse proxy: it forwards the requests of callers to backend servers and
// their answers back, unchanged. Admission, placement and retry budgets are decided by other
// packages, and a Protocol defines the names and formats on the wire.
package forward

import (
	"net/http"
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// Envelope is the metadata that a caller sends with a request, beside method, path and body.
type Envelope struct {
	ID           string           // ID of this attempt of the caller; servers echo it
	APIKey       string           // API key of the client account
	Deadline     time.Duration    // from the arrival of the request; 0 for none
	Parts        []placement.Part // of the prompt
	PromptTokens int
	OutputTokens int    // estimate
	LastEventID  string // ID of the event after which a stream is continued; empty for none
	Resumes      string // ID of the attempt that brought the first event of a stream that is continued; empty for none
}

// ServerRequest is a request as it is sent to a server. PrefixSourceAddress is the address of
// another server from which this one fetches cached prefix parts that it lacks; empty for none.
type ServerRequest struct {
	Request             *http.Request // of the caller
	Envelope            *Envelope
	Account             string
	Server              routing.Server
	PrefixSourceAddress string
	TimeToDeadline      time.Duration // until the earlier of the caller's deadline and the route's timeout
	LastEventID         string        // ID of the event after which a stream is continued; empty for none
	BodyBytes           int
}

// AnswerInfo is the metadata in the header of a server's answer.
type AnswerInfo struct {
	ID     string // ID of the request that it answers; empty if missing
	Server string // ID of the server; only answers to health checks have it
	NotRun bool   // the server did not run the request and never will
	Signed bool
	// Ambiguous is set if the header has different values for the ID of the request, the signature or the server. The other fields are not
	// set then.
	Ambiguous bool
	// RequestLimit is how many requests per second the server takes from the whole fleet. HasRequestLimit is false if it
	// names no limit.
	RequestLimit    float64
	HasRequestLimit bool
	Leaving         bool          // the server says that it leaves
	Pause           time.Duration // for which the server wants no requests of this daemon; 0 for none
}

// Protocol encodes and decodes the headers of requests and answers.
type Protocol interface {
	// DecodeRequest returns the envelope of a caller's request. It returns an error if the
	// header is malformed.
	DecodeRequest(r *http.Request) (*Envelope, error)
	// DecodePartialRequest returns the key and the token counts that the start of a request
	// contains, as far as they have arrived. It validates nothing.
	DecodePartialRequest(start []byte) Envelope
	// EncodeRequestHeader returns the request line and the header of a request to a server,
	// including the empty line that ends it.
	EncodeRequestHeader(r ServerRequest) []byte
	// DecodeAnswer returns the metadata in the header of a server's answer.
	DecodeAnswer(h http.Header) AnswerInfo
}
