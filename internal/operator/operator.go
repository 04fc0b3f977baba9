// Package operator implements the DRPC service that filbertrillctl uses to submit
// tickets, show the status of the fleet and drain daemons.
package operator

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/controller/members"
	"github.com/filbertrill/filbertrill/internal/logservice"
)

// Time limits and intervals of SubmitTicket.
const (
	defaultSubmitTimeout = 10 * time.Second // if the request has no timeout
	statusPollInterval   = 50 * time.Millisecond
	appendRetryInterval  = 200 * time.Millisecond // between attempts to append the ticket
	appendConfirmTimeout = time.Second            // wait for a verdict after an append with unknown outcome
	appendRetryTimeout   = 3 * time.Second        // total time of attempts while no append had an effect
)

// Options configure a Server.
type Options struct {
	SelfID  string
	Log     logservice.Log
	Topic   string // of the log; config.DefaultTopic if empty
	Config  *config.Controller
	Members *members.Controller
	Drain   func() // starts draining this daemon
}

// Server implements the Operator DRPC service declared in package pb.
type Server struct {
	opts Options
}

// NewServer returns a Server with the options.
func NewServer(opts Options) *Server {
	if opts.Topic == "" {
		opts.Topic = config.DefaultTopic
	}
	return &Server{opts: opts}
}
