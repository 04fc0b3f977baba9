package backend

import "github.com/filbertrill/filbertrill/internal/http1"

// NewSingleUseTransport returns a transport for requests that must not be sent twice. It opens a new
// connection for each request, because net/http resends a request only if a reused connection breaks.
func NewSingleUseTransport() *http1.Transport {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return http1.NewTransport(transport)
}
