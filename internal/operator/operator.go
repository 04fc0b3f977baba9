// Package operator answers the operators' tool.
package operator

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/controller/members"
	"github.com/filbertrill/filbertrill/internal/logservice"
)

// Times of a submit.
const (
	defaultSubmitTimeout = 10 * time.Second
	phasePollInterval    = 50 * time.Millisecond
	appendRetryInterval  = 200 * time.Millisecond // after an append that had no effect
	appendConfirmTimeout = time.Second            // for a ticket whose append got no answer, before it is appended again
	appendRetryTimeout   = 3 * time.Second        // of appends that had no effect
)

// Options configure a Server.
type Options struct {
	SelfID  string
	Log     logservice.Log
	Topic   string
	Config  *config.Controller
	Members *members.Controller
	Drain   func()
}

// Server implements the Operator service of package pb.
type Server struct {
	opts Options
}

// NewServer returns a server.
func NewServer(opts Options) *Server {
	if opts.Topic == "" {
		opts.Topic = config.DefaultTopic
	}
	return &Server{opts: opts}
}
