package http1

import "net/http"

// FramedByConnection is the framing of a body that ends with its connection.
const FramedByConnection = "connection"

// Framing returns how the body of an answer ends: "length", "chunks", "none" for an answer without a body, or FramedByConnection.
func Framing(response *http.Response) string {
	switch {
	case response.Body == http.NoBody:
		return "none"
	case response.ContentLength >= 0:
		return "length"
	case len(response.TransferEncoding) > 0:
		return "chunks"
	}
	return FramedByConnection
}

// MayHaveBody reports whether a final answer with the status to a request with the method has a body, if its head announces one (RFC 9112,
// section 6.3).
func MayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
