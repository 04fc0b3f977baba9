package forward

import (
	"context"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// Origins tells which software version of a service began a stream. A stream is identified by the ID of the attempt that
// brought its first event.
type Origins interface {
	// Record stores the version. It returns before the first event is forwarded, so that the caller can take up no stream
	// that peers have not been told of.
	Record(service, attempt, version string)
	// Find returns the version. ok is false if it can't be determined; the stream must not go on then. It may wait for
	// answers of peers.
	Find(ctx context.Context, service, attempt string) (version string, ok bool)
}

// takesUp reports whether the request continues a stream that another request began.
func (c *call) takesUp() bool { return c.route.Kind == routing.Stream && c.envelope.LastEventID != "" }

// bindVersion restricts a request that takes up a stream to servers of the version that began it.
func (h *Handler) bindVersion(ctx context.Context, c *call) error {
	if !c.takesUp() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	version, ok := h.Origins.Find(ctx, c.service.Name, c.envelope.Resumes)
	if !ok {
		return result.New(result.VersionUnknown, "version that began the stream %q is not known", c.envelope.Resumes).WithRetryAfter(defaultRetryAfter)
	}
	c.version = &version
	return nil
}

// recordOrigin records the version of the server whose first event is about to be forwarded. Further attempts are bound to
// it.
func (h *Handler) recordOrigin(c *call) {
	if c.route.Kind != routing.Stream || !c.route.Resumable {
		return
	}
	attempt := c.envelope.ID
	if c.takesUp() {
		attempt = c.envelope.Resumes
	}
	version := c.choice.Server.Version
	c.version = &version
	if attempt != "" {
		h.Origins.Record(c.service.Name, attempt, version)
	}
}
