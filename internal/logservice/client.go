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

	"github.com/filbertrill/filbertrill/internal/bounded"
	"github.com/filbertrill/filbertrill/internal/http1"
)

// Limits of one response of a platform service.
const (
	// maxHeadBytes limits the head.
	maxHeadBytes = 64 << 10
	// maxRecordsBytes limits what is read of the answer to a read of the log.
	maxRecordsBytes = 32 << 20
	// maxEntryBytes limits one record in it, or one entry of another list.
	maxEntryBytes = 8 << 20
	// maxStringBytes limits the value of a record in base64. It leaves room in maxEntryBytes for the other fields.
	maxStringBytes = maxEntryBytes - 4<<10
	// maxInstancesBytes limits the list of instances.
	maxInstancesBytes = 4 << 20
	// maxBodyBytes limits the answers to appends and about offsets, which hold some 50 bytes for each value.
	maxBodyBytes = 256 << 10
	// maxErrorBytes limits the body of an error.
	maxErrorBytes = 64 << 10
)

// MaxValueBytes is the size of the largest value that Append accepts. It fits into a read of the log and into a message between daemons.
const MaxValueBytes = 3 << 20

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
	transport.MaxResponseHeaderBytes = maxHeadBytes
	client := &http.Client{
		Transport:     http1.NewTransport(transport),
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

// decodeList calls decode for each entry of a response body, which must be a list of up to maxEntries, and decode decodes it. It returns
// an error, that is bounded.ErrTooLong, if the body has more than maxBytes or an entry more than maxEntryBytes. Strings of more than
// maxStringBytes are cut.
func decodeList(body io.Reader, maxBytes, maxEntries int, decode func(d *bounded.Decoder) error) error {
	d := bounded.NewDecoder(bounded.CutStrings(body, maxStringBytes), maxBytes, maxEntryBytes)
	if err := d.List(maxEntries, func() error { return decode(d) }); err != nil {
		return errors.Wrap(err, "decode response body")
	}
	return errors.Wrap(d.End(), "decode response body")
}

// decodeJSON decodes a response body, which must be one JSON value of up to maxBodyBytes, into target.
func decodeJSON(body io.Reader, target any) error {
	data, err := bounded.ReadAll(body, maxBodyBytes)
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	return errors.Wrap(json.Unmarshal(data, target), "decode response body")
}
