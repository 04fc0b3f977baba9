package attempt

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// suspects are the subjects of a request that may end backend servers.
type suspects struct {
	quarantine Quarantine
	parts      []quarantine.Subject // of the prompt
	request    quarantine.Subject
}

// newSuspects returns the subjects of a request whose body was read.
func (h *handler) newSuspects(r *filter.Request) *suspects {
	digest := quarantine.RequestDigest(r.HTTP.Method, r.HTTP.URL.RequestURI(), r.Account.ID, nil, r.Body)
	return &suspects{
		quarantine: h.opts.Quarantine,
		parts:      quarantine.Parts(prefix(r)),
		request:    quarantine.Subject{Kind: quarantine.WholeRequest, ID: digest},
	}
}

func (s *suspects) all() []quarantine.Subject {
	return append(s.parts[:len(s.parts):len(s.parts)], s.request)
}

// acquireChecked acquires a slot with the function unless the request is held in quarantine, before or after the wait.
func (s *suspects) acquireChecked(ctx context.Context, r *filter.Request, acquire func(context.Context, *filter.Request) (*dispatch.Lease, error)) (*dispatch.Lease, error) {
	trial, err := s.quarantine.Check(s.all())
	if err != nil {
		return nil, err
	}
	lease, err := acquire(ctx, r)
	if err != nil || trial {
		return lease, err
	}
	if _, err := s.quarantine.Check(s.all()); err != nil {
		lease.Release(0)
		return nil, err
	}
	return lease, nil
}

// recordEnd records that the server broke the connection. A prompt part ends a server at the begin of the answer, a request
// at any time.
func (s *suspects) recordEnd(server string, begun, partsSound bool) {
	if partsSound {
		s.quarantine.RecordEnd([]quarantine.Subject{s.request}, server, begun)
		return
	}
	s.quarantine.RecordEnd(s.all(), server, begun)
}

// recordPartsSound records that the answer has gone on after its first event.
func (s *suspects) recordPartsSound(server string, sentAt time.Time) {
	s.quarantine.RecordSound(s.parts, server, sentAt)
}

// recordSound records a complete answer.
func (s *suspects) recordSound(server string, sentAt time.Time) {
	s.quarantine.RecordSound(s.all(), server, sentAt)
}

// isConnectionBroken reports whether err is the end of a connection that the other side has closed or reset.
func isConnectionBroken(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
