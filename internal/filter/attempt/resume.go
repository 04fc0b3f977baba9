package attempt

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/resume"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// headerLastEventID is the request header with the ID of the last event that the caller received.
const headerLastEventID = "Last-Event-ID"

// NewResume returns the handler that resumes an answer that another daemon started.
func NewResume(opts Options) filter.Handler { return &resumer{opts: opts} }

type resumer struct {
	opts Options
}

// Handle verifies the resume token and relays the rest of the answer. It acquires no slot because the
// request already occupies one at the engine.
func (h *resumer) Handle(ctx context.Context, r *filter.Request) error {
	claims, err := h.opts.Signer.Verify(r.HTTP.Header.Get(HeaderResumeToken), time.Now())
	if err != nil {
		return result.Wrap(err, result.ResumeTokenInvalid, "the resume token is not valid")
	}
	if claims.Account != r.Account.ID {
		return result.New(result.KeyOtherAccount, "the resume token belongs to another account")
	}
	next, err := nextOffset(r.HTTP.Header.Get(headerLastEventID))
	if err != nil {
		return err
	}
	service, server, err := findServer(r.Config, claims)
	if err != nil {
		return err
	}
	r.Service, r.ServiceID = service, service.ID
	return h.relay(ctx, r, claims, server, next)
}

// nextOffset returns the offset of the event after lastEventID, or 0 if that is empty.
func nextOffset(lastEventID string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	offset, err := strconv.ParseUint(lastEventID, 10, 31)
	if err != nil {
		return 0, result.New(result.ResumeTokenInvalid, "%s is not an event id of an answer", headerLastEventID)
	}
	return int(offset) + 1, nil
}

func findServer(config *ticket.Config, claims resume.Claims) (ticket.Service, ticket.Server, error) {
	service, ok := config.Service(claims.Service)
	if !ok {
		return service, ticket.Server{}, result.New(result.ServerFailed, "the service was removed")
	}
	server, ok := config.Server(claims.Server)
	if !ok {
		return service, server, result.New(result.ServerFailed, "the backend server was removed")
	}
	return service, server, nil
}

func (h *resumer) relay(ctx context.Context, r *filter.Request, claims resume.Claims, server ticket.Server, next int) error {
	sink := &eventSink{
		w:            r.Writer,
		writeLimit:   h.opts.WriteLimit,
		includeUsage: claims.IncludeUsage,
		resumeToken:  r.HTTP.Header.Get(HeaderResumeToken),
		onStart:      func() {},
	}
	a := &chatAttempt{
		engine:    h.opts.Engine,
		logger:    h.opts.Logger,
		server:    server,
		attemptID: claims.AttemptID,
		machine:   answer.New(answer.Options{AttemptID: claims.AttemptID, NextOffset: next, StartedElsewhere: true}),
		sink:      sink,
		watchdog:  &watchdog{idleLimit: time.Duration(r.Service.IdleLimit), flush: sink.flush},
		meter:     &meter{request: r, metrics: h.opts.Metrics},
	}
	switch action := a.run(ctx); action.Kind {
	case answer.Finish:
		return nil
	case answer.Stop:
		return result.Wrap(context.Canceled, result.CallerGone, "the caller disconnected")
	default:
		cause := errors.CombineErrors(a.err, errNoAnswer)
		return result.Wrap(cause, action.Code, "%s", errorMessage(action.Code, server.ID))
	}
}
