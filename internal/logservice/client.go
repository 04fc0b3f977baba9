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

// maxResponseBytes bounds the body of one answer of a platform service.
const maxResponseBytes = 64 << 20

// maxIdleConnsPerHost is the number of idle connections kept to one service.
const maxIdleConnsPerHost = 8

// newService returns an HTTP service whose requests each take up to timeout.
// The breaker is off: its refusals would hide whether a request was sent,
// and callers pace their own retries.
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

// keepRedirect returns a redirect as the answer instead of following it.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// parseBase returns the URL of a service and refuses one without scheme or host.
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

// readBody returns the body and refuses one above maxResponseBytes.
func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(data) > maxResponseBytes {
		return nil, errors.Newf("answer is larger than %d bytes", maxResponseBytes)
	}
	return data, nil
}

// decode reads one JSON value from data.
func decodeJSON(data []byte, target any) error {
	return errors.Wrap(json.Unmarshal(data, target), "decode answer")
}
