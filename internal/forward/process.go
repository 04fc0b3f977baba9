package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/liveness"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// minHealthCheckTime is the least time that a server is given for a health check: others than the request may wait for it.
const minHealthCheckTime = time.Second

// continuityTimeout is the time within which a server whose connection has broken must show that its process runs on. Until then its version
// counts as known.
const continuityTimeout = 50 * time.Millisecond

// recordFraming records how the answer of the attempt ends. Other versions of the server may differ.
func (h *Handler) recordFraming(c *call, a *attempt) {
	h.framings.Record(c.service.Name, framingKey(a), endsWithConnection(a.response))
}

func framingKey(a *attempt) string { return a.endpoint.ID + "\x00" + a.choice.Server.Version }

// beginProof begins to show which process answers the attempt, if its answer may end with its connection, or the version of its stream must be
// known. The attempt's connection is open.
func (h *Handler) beginProof(ctx context.Context, c *call, a *attempt) {
	if h.framings.MayEndWithConnection(c.service.Name, framingKey(a)) || a.needsVersion() {
		a.proof = h.liveness.Begin(ctx, a.endpoint, func() upstream.Question { return h.question(c, a.endpoint) })
		if at := a.proof.EndedAt(); !at.IsZero() {
			h.Pool.RecordInterrupted(a.endpoint, at)
		}
	}
}

// needsVersion reports whether the attempt's answer goes on at servers of its version only.
func (a *attempt) needsVersion() bool { return a.begins || a.resumes }

// keepProof keeps the proof if the answer ends with its connection, and ends it if nothing needs it.
func (a *attempt) keepProof() {
	a.proof.SetIdleTimeout(a.conn.IdleTimeout())
	switch {
	case a.record.framing == http1.FramedByConnection:
		a.proof.Keep()
	case !a.needsVersion():
		a.proof.End()
		a.proof = nil
	}
}

// recordBroken records that the server has closed or reset the attempt's connection. Its process may have ended, unless it answers behind that.
func (h *Handler) recordBroken(a *attempt) {
	if a.proof == nil {
		h.Pool.RecordBroken(a.conn)
		return
	}
	proof, conn, alive := a.proof, a.conn, a.conn.AliveAt()
	a.proof = nil // ended below
	go func() {
		defer proof.End()
		ctx, cancel := context.WithTimeout(context.Background(), continuityTimeout)
		defer cancel()
		switch _, err := proof.ConfirmSince(ctx, alive); {
		case err == nil:
		case proof.EndedAt().After(alive):
			h.Pool.RecordEnded(conn)
		default:
			h.Pool.RecordBroken(conn)
		}
	}()
}

// question returns the request by which the server shows that it runs.
func (h *Handler) question(c *call, e upstream.Endpoint) upstream.Question {
	if !c.hasHealthCheck() {
		return upstream.Ping(e.Address)
	}
	head, err := h.encodeHealthCheck(c, e)
	if err != nil { // the path is not one of a URL
		return upstream.Ping(e.Address)
	}
	return upstream.Question{Method: http.MethodGet, Head: head, Accept: func(r *http.Response) error { return h.acceptHealth(e, r) }}
}

// confirmEnd returns an error unless the process that has sent an answer runs on behind it, if the answer ends with its connection. When a
// process is killed, its connections end like those of a complete answer. A server that is silent has not ended: confirmEnd waits for it until the
// deadline, or until another attempt is answered.
func (h *Handler) confirmEnd(c *call, a *attempt, g *hedger) error {
	if !endsWithConnection(a.response) || a.endConfirmed {
		return nil
	}
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	ended, checkedAt := make(chan error, 1), time.Now()
	var evidence liveness.Evidence
	go func() {
		defer func() {
			if p := recovery.NewPanic(recover()); p != nil {
				ended <- p
			}
		}()
		var err error
		evidence, err = h.confirmProcess(ctx, a)
		ended <- err
	}()
	err := g.awaitEnd(ended)
	if err == nil {
		a.recordEnd(c, evidence, checkedAt)
	}
	h.recordListedProcess(a)
	return err
}

// confirmProcess returns an error unless the process that has sent the answer runs now. Where its proof has no connection, as at a server that
// accepts no further one, an idle connection of the pool from before the request will do.
func (h *Handler) confirmProcess(ctx context.Context, a *attempt) (liveness.Evidence, error) {
	evidence, err := a.proof.Confirm(ctx)
	if errors.IsAny(err, liveness.ErrEnded, liveness.ErrUnknown) {
		asked := time.Now()
		if since, ok := h.Pool.RunsOn(ctx, a.conn); ok {
			return liveness.Evidence{Since: since, Asked: asked}, nil
		}
	}
	return evidence, errors.Wrap(err, "end of the answer")
}

// recordEnd records why the end of the answer was believed.
func (a *attempt) recordEnd(c *call, evidence liveness.Evidence, checkedAt time.Time) {
	a.endConfirmed = true
	a.record.endBasis, a.record.endEvidence, a.record.endCheckedAt = endBasis(c), evidence, checkedAt
}

// recordListedProcess records which process of the server is listed now.
func (h *Handler) recordListedProcess(a *attempt) {
	if h.ServerKnowledge != nil {
		knowledge, _ := h.ServerKnowledge(a.endpoint.ID, time.Now())
		a.record.endProcess = knowledge.Process
	}
}

// endBasis returns what confirmProcess concludes from.
func endBasis(c *call) string {
	if c.hasHealthCheck() {
		return "health check on a connection from before the request"
	}
	return "ping on a connection from before the request"
}

// hasHealthCheck reports whether the servers of the call's service can be asked for their health.
func (c *call) hasHealthCheck() bool { return c.service != nil && c.service.HealthPath != "" }

// awaitSignOfLife returns once the server of the endpoint has answered a question, whichever of its processes does, and an error if it
// refuses connections. It waits for a silent server until the context ends.
func (h *Handler) awaitSignOfLife(ctx context.Context, c *call, e upstream.Endpoint) error {
	for {
		err := h.probe(ctx, c, e)
		var timeout interface{ Timeout() bool }
		if err == nil || ctx.Err() != nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
	}
}

// probe returns an error unless the server of the endpoint answers a question before the context ends.
func (h *Handler) probe(ctx context.Context, c *call, e upstream.Endpoint) error {
	return h.Pool.Probe(ctx, e, h.question(c, e))
}

// encodeHealthCheck returns the head of a health check at the server.
func (h *Handler) encodeHealthCheck(c *call, e upstream.Endpoint) ([]byte, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.Address+c.service.HealthPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build health check")
	}
	return h.Protocol.EncodeRequestHeader(ServerRequest{
		Request: request, Envelope: &Envelope{}, Server: routing.Server{ID: e.ID}, TimeToDeadline: max(minHealthCheckTime, time.Until(c.deadline)),
	}), nil
}

// acceptHealth returns an error if the answer to a health check is that of another server. Any other status proves that the server runs.
func (h *Handler) acceptHealth(e upstream.Endpoint, r *http.Response) error {
	answer := h.Protocol.DecodeAnswer(r.Header)
	if r.StatusCode == http.StatusMisdirectedRequest || answer.Ambiguous || answer.Server != "" && answer.Server != e.ID {
		return errors.Newf("another server answers at %s", e.Address)
	}
	return nil
}
