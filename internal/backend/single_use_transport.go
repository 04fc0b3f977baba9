package backend

import "net/http"

// NewSingleUseTransport returns a transport for requests that may not be repeated. Each
// request has a connection of its own: net/http sends a request again by itself when a
// reused connection breaks, and only then.
func NewSingleUseTransport() *http.Transport {
	transport := NewTransport()
	transport.DisableKeepAlives = true
	return transport
}
