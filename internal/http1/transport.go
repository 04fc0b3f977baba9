package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper of which each answer has a valid head, valid chunks, and a body that ends without an error of its
// connection. Heads and chunks are checked on connections without TLS.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base, whose dial function it replaces by one that calls it.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked, err := NewConn(conn)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return checked, nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper. Errors for heads that are not those of an answer are marked ErrInvalidHead, errors for chunks
// ErrInvalidChunks.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	transfer := newTransfer(r.Context())
	var head atomic.Pointer[expectedHead]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok { // not TLS
				head.Store(c.expectHead(r.Method))
				transfer.conn.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { transfer.uploaded.Store(info.Err == nil) },
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	h := head.Load()
	if err != nil {
		if h != nil && h.invalid.Load() != nil { // net/http reports what it makes of the bytes before the error
			return nil, errors.Wrap(*h.invalid.Load(), "read answer")
		}
		return nil, err
	}
	transfer.answered(response)
	if h != nil && !h.arrived.Load() {
		_ = response.Body.Close()
		return nil, errors.Wrap(ErrInvalidHead, "answer has arrived before its request was sent")
	}
	return response, nil
}

// CloseIdleConnections closes connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
