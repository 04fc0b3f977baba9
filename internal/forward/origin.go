package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// Origins tells which software version of which service began a stream. A stream is identified by the ID of the attempt that
// brought its first event.
type Origins interface {
	// Record stores the version. It returns before the first event is forwarded, so that the caller can take up no stream
	// that peers have not been told of.
	Record(service, attempt, version string)
	// RecordUnknown stores that the version of a stream of the service is not known.
	RecordUnknown(service, attempt string)
	// Find returns the service and version at which the stream goes on, and what they are known from. The stream must not go
	// on if that is OriginUnknown. It may wait for answers of peers.
	Find(ctx context.Context, t TakeUp) (service, version string, basis OriginBasis)
	// Excluded returns the versions of the service at which no stream may begin now, because other daemons may not know them.
	Excluded(service string) []string
}

// TakeUp describes a request that continues a stream.
type TakeUp struct {
	Host, Path string
	Attempt    string         // that brought the first event; empty if the request doesn't name it
	Route      *routing.Route // of the request
}

// OriginBasis is what a daemon knows the version of a stream from. It is the "origin" of requests that take up streams in the
// log, and the label "basis" of their metric.
type OriginBasis string

// The bases of versions.
const (
	OriginRecorded  OriginBasis = "recorded"  // a record of this daemon: it began the stream, took it up before, or was told
	OriginAnswered  OriginBasis = "answered"  // the answer of a peer that has a record
	OriginConcluded OriginBasis = "concluded" // no record; from the versions in use
	OriginUnknown   OriginBasis = "unknown"
)

// takesUp reports whether the request continues a stream that another request began.
func (c *call) takesUp() bool { return c.route.Kind == routing.Stream && c.envelope.LastEventID != "" }

// bindVersion restricts a request that takes up a stream to servers of the version that began it.
func (h *Handler) bindVersion(ctx context.Context, c *call) error {
	if !c.takesUp() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	service, version, basis := h.Origins.Find(ctx, TakeUp{
		Host: c.request.Host, Path: c.request.URL.EscapedPath(), Attempt: c.envelope.Resumes, Route: c.route,
	})
	c.originBasis = basis
	h.Metrics.CountTakeUp(string(basis))
	if basis == OriginUnknown {
		return result.New(result.VersionUnknown, "version that began the stream %q is not known", c.envelope.Resumes).WithRetryAfter(defaultRetryAfter)
	}
	if c.service = c.config.Service(service); c.service == nil {
		return result.New(result.NoServerJoined, "service of the stream is not configured").WithRetryAfter(defaultRetryAfter)
	}
	c.version = &version
	return nil
}

// excludedVersions returns the versions at which the request may not begin a stream.
func (h *Handler) excludedVersions(c *call) []string {
	if !c.begins() {
		return nil
	}
	return h.Origins.Excluded(c.service.Name)
}

// resumes reports whether the request takes a stream up, or goes on with one within its answer.
func (c *call) resumes() bool { return c.version != nil }

// begins reports whether the request begins a stream that may be resumed.
func (c *call) begins() bool {
	return c.route.Kind == routing.Stream && c.route.Resumable && !c.resumes()
}

// checkVersion returns an error if another process than the registered one may answer at the chosen server, which was not known at
// the choice. It is called when the connection is open.
func (h *Handler) checkVersion(a *attempt, now time.Time) error {
	if !a.resumes && !a.begins {
		return nil
	}
	a.versionUnknown = h.Scheduler.MayHaveChanged(a.choice.Server, now)
	if a.versionUnknown && (a.resumes || !a.choice.Uncertain) {
		return errors.New("another process than the registered one may answer at the server")
	}
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
	switch {
	case attempt == "":
	case c.versionUnknown:
		h.Origins.RecordUnknown(c.service.Name, attempt)
	default:
		h.Origins.Record(c.service.Name, attempt, version)
	}
}
