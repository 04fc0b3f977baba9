package backend

import "net/http"

// NewSingleUseTransport returns a transport for requests that must not be sent twice. It opens a new
// connection for each request, because net/http resends a request only if a reused connection breaks.
func NewSingleUseTransport() *http.Transport {
	transport := NewTransport()
	transport.DisableKeepAlives = true
	return transport
}
