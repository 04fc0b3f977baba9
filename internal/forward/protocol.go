// Package forward passes requests of callers on to backend servers and their answers
// back, unchanged. It decides nothing on its own: admission, placement and retry budgets
// are packages of their own, and the names on the wire belong to a Protocol.
package forward

import (
	"net/http"
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// Envelope is what a caller says of its request beside method, path and body.
type Envelope struct {
	RequestID    string // of this attempt of the caller; servers echo it
	Key          string // of the client account
	Deadline     time.Duration
	Parts        []placement.Part
	PromptTokens int // tokens
	OutputTokens int // tokens, the best estimate
	LastEventID  string
}

// Dispatch is what a server is told of a request.
type ServerRequest struct {
	Request             *http.Request
	Envelope            *Envelope
	Account             string
	Server              routing.Server
	PrefixSourceAddress string        // address of another server from which this one fetches what it lacks of the prompt; empty for none
	TimeToDeadline      time.Duration // until the caller's deadline
	LastEventID         string        // after which a stream goes on
	BodyBytes           int
}

// Answer is what the head of a server's answer says.
type AnswerHeader struct {
	RequestID   string // of the request that it answers; empty when not said
	NotRun      bool   // the server has not run the request and never will
	Signed      bool
	WrongServer bool // the server is another one than the request expects
}

// Protocol holds the names and formats of requests and answers.
type Protocol interface {
	// Decode reads the envelope of a caller's request.
	DecodeRequest(r *http.Request) (*Envelope, error)
	// Glance returns what the begin of a request says of its key, prompt and output, as far as
	// it has arrived. It checks nothing.
	DecodePartialRequest(start []byte) Envelope
	// Head returns the head of the request to a server, up to and with the empty line.
	EncodeRequestHeader(r ServerRequest) []byte
	// Answer reads the head of a server's answer.
	DecodeAnswerHeader(h http.Header) AnswerHeader
}
