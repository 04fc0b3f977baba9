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

// recordFraming records how the answer of the attempt ends. Other versions of the server may differ.
func (h *Handler) recordFraming(c *call, a *attempt) {
	h.framings.Record(c.service.Name, framingKey(a), endsWithConnection(a.response))
}

func framingKey(a *attempt) string { return a.endpoint.ID + "\x00" + a.choice.Server.Version }

// beginProof begins to show which process answers the attempt, if its answer may end with its connection. The attempt's connection is open.
func (h *Handler) beginProof(ctx context.Context, c *call, a *attempt) {
	if h.framings.MayEndWithConnection(c.service.Name, framingKey(a)) {
		a.proof = h.liveness.Begin(ctx, a.endpoint, func() liveness.Question { return h.question(c, a.endpoint) })
	}
}

// keepProof keeps the proof if the answer ends with its connection, and ends it if it doesn't.
func (a *attempt) keepProof() {
	if a.record.framing == http1.FramedByConnection {
		a.proof.Keep()
		return
	}
	a.proof.End()
	a.proof = nil
}

// question returns the request by which the server shows that it runs.
func (h *Handler) question(c *call, e upstream.Endpoint) liveness.Question {
	if !c.hasHealthCheck() {
		return liveness.Ping(e.Address)
	}
	head, err := h.encodeHealthCheck(c, e)
	if err != nil { // the path is not one of a URL
		return liveness.Ping(e.Address)
	}
	return liveness.Question{Method: http.MethodGet, Head: head, Accept: func(r *http.Response) error { return h.acceptHealth(e, r) }}
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
		evidence, err = a.confirmProcess(ctx)
		ended <- err
	}()
	err := g.awaitEnd(ended)
	if err == nil {
		a.recordEnd(c, evidence, checkedAt)
	}
	h.recordListedProcess(a)
	return err
}

// confirmProcess returns an error unless the process that has sent the answer runs now.
func (a *attempt) confirmProcess(ctx context.Context) (liveness.Evidence, error) {
	evidence, err := a.proof.Confirm(ctx)
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
	q := h.question(c, e)
	return h.Pool.Probe(ctx, e, q.Method, q.Head, q.Accept)
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
