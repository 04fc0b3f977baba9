package http1

import "net/http"

// LacksLength reports whether a request to a server has a body whose length is not known: POST, PUT and PATCH in HTTP/1.0 require a
// Content-Length (RFC 1945, section 8.3). net/http passes such a request on without a body, drops a transfer coding, and reads the body as
// the next request.
func LacksLength(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) || r.Header.Get("Content-Length") != "" {
		return false
	}
	return r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}
