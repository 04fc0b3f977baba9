package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// maxResponseBytes limits the size of one response body of a platform service.
const maxResponseBytes = 64 << 20

// maxIdleConnsPerHost is the maximum number of idle connections to one service.
const maxIdleConnsPerHost = 8

// newService returns an HTTP service that applies the timeout to each request.
// The circuit breaker is disabled: its errors would hide whether a request was sent,
// and callers limit the rate of their own retries.
func newService(name string, timeout time.Duration) httpc.Service {
	breaker.NoBreakerFor(name)
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	client := &http.Client{
		Transport:     transport,
		Timeout:       timeout,
		CheckRedirect: returnRedirect,
	}
	return httpc.NewServiceWithClient(name, client)
}

// returnRedirect makes an http.Client return a redirect response instead of following it.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// parseServiceURL parses the URL of a service. It returns an error unless the URL has
// the scheme http or https and a host.
func parseServiceURL(raw string) (*url.URL, error) {
	u, err := url.Parse(raw)
	if err != nil {
		return nil, errors.Wrap(err, "parse service URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return nil, errors.Newf("service URL %q: scheme must be http or https", raw)
	}
	if u.Host == "" {
		return nil, errors.Newf("service URL %q: host is missing", raw)
	}
	return u, nil
}

// readBody reads a response body. It returns an error if the body is larger than maxResponseBytes.
func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if len(data) > maxResponseBytes {
		return nil, errors.Newf("response body is larger than %d bytes", maxResponseBytes)
	}
	return data, nil
}

// decodeJSON decodes data, which must be one JSON value, into target.
func decodeJSON(data []byte, target any) error {
	return errors.Wrap(json.Unmarshal(data, target), "decode response body")
}
