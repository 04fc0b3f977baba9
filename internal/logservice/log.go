package logservice

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/filbertrill/filbertrill/internal/bounded"
)

const (
	binaryContentType   = "application/vnd.kafka.binary.v2+json"
	metadataContentType = "application/vnd.kafka.v2+json"

	// codeOffsetExpired is the service's error code for an offset below the first retained record.
	codeOffsetExpired = 40403
)

// HTTPLog is a Log that uses the Kafka REST Proxy v2 API.
// Each topic has one partition, number 0.
type HTTPLog struct {
	base    *url.URL
	service httpc.Service
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log at the base URL that applies the timeout to each request.
// It returns an error if the URL is not an absolute HTTP URL.
func NewHTTPLog(baseURL string, timeout time.Duration) (*HTTPLog, error) {
	base, err := parseServiceURL(baseURL)
	if err != nil {
		return nil, err
	}
	return &HTTPLog{base: base, service: newService("platform-log", timeout)}, nil
}

type produceRecord struct {
	Value []byte `json:"value"`
}

type produceRequest struct {
	Records []produceRecord `json:"records"`
}

type produceOffset struct {
	Partition int32  `json:"partition"`
	Offset    *int64 `json:"offset"`
	ErrorCode *int   `json:"error_code"`
	Error     string `json:"error"`
}

type produceResponse struct {
	Offsets []produceOffset `json:"offsets"`
}

type consumedRecord struct {
	Value     string `json:"value"` // base64
	Partition int32  `json:"partition"`
	Offset    *int64 `json:"offset"`
}

type offsetsResponse struct {
	Beginning *int64 `json:"beginning_offset"`
	End       *int64 `json:"end_offset"`
}

type errorResponse struct {
	ErrorCode int    `json:"error_code"`
	Message   string `json:"message"`
}

// Append adds values to the topic and returns the offset of each, in order.
// The error wraps ErrNotAppended if the request could not be built, no connection was made
// or the service rejected the request; after any other error the values may be in the log.
func (l *HTTPLog) Append(ctx context.Context, topic string, values [][]byte) ([]int64, error) {
	if len(values) == 0 {
		return nil, nil
	}
	for i, value := range values {
		if len(value) > MaxValueBytes {
			return nil, wrapSentinel(ErrNotAppended, errors.Newf("append: value %d has %d bytes, more than %d", i, len(value), MaxValueBytes))
		}
	}
	body, err := json.Marshal(newProduceRequest(values))
	if err != nil {
		return nil, wrapSentinel(ErrNotAppended, errors.Wrap(err, "encode append"))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := l.request(httptrace.WithClientTrace(ctx, trace), http.MethodPost, body, "topics", topic)
	if err != nil {
		return nil, wrapSentinel(ErrNotAppended, err)
	}
	req.Header.Set("Content-Type", binaryContentType)
	req.Header.Set("Accept", metadataContentType)
	var offsets []int64
	status, err := l.do(req, func(body io.Reader) (err error) {
		offsets, err = parseAppendOffsets(body, len(values))
		return err
	})
	if err != nil {
		return nil, appendError(err, status, connected.Load())
	}
	return offsets, nil
}

func newProduceRequest(values [][]byte) produceRequest {
	records := make([]produceRecord, len(values))
	for i, value := range values {
		if value == nil {
			value = []byte{}
		}
		records[i] = produceRecord{Value: value}
	}
	return produceRequest{Records: records}
}

// appendError wraps err with ErrNotAppended if the request definitely had no effect.
// The status is 0 if there was no response.
func appendError(err error, status int, connected bool) error {
	err = errors.Wrap(err, "append")
	if !connected || rejected(status) {
		return wrapSentinel(ErrNotAppended, err)
	}
	return err
}

// refused reports whether the status means that the service did not apply the request.
// After status 408 (request timeout) it may have been applied.
func rejected(status int) bool {
	if status == http.StatusRequestTimeout {
		return false
	}
	if status == http.StatusServiceUnavailable {
		return true
	}
	return status >= 400 && status < 500
}

// parseAppendOffsets returns the offsets in the response to an append of want values.
func parseAppendOffsets(body io.Reader, want int) ([]int64, error) {
	var response produceResponse
	if err := decodeJSON(body, &response); err != nil {
		return nil, err
	}
	if len(response.Offsets) != want {
		return nil, errors.Newf("response has %d offsets for %d values", len(response.Offsets), want)
	}
	offsets := make([]int64, want)
	for i, entry := range response.Offsets {
		if entry.ErrorCode != nil {
			return nil, errors.Newf("value %d: error %d: %s", i, *entry.ErrorCode, entry.Error)
		}
		if entry.Offset == nil || *entry.Offset < 0 || entry.Partition != 0 {
			return nil, errors.Newf("value %d: no valid offset in partition 0", i)
		}
		offsets[i] = *entry.Offset
	}
	return offsets, nil
}

// unreadableValue stands for values that are too long or not in base64. No reader can decode it.
var unreadableValue = []byte{0}

// Read returns up to limit records starting at the offset, and none if the offset is Bounds.Next.
// The error wraps ErrOffsetExpired if the offset is below Bounds.First, and ErrMoreRecords if the answer was too long; the records
// before that are returned. A value of more than some 6 MB is replaced by one that can't be decoded.
func (l *HTTPLog) Read(ctx context.Context, topic string, offset int64, limit int) ([]Record, error) {
	if offset < 0 || limit <= 0 {
		return nil, errors.Newf("read: offset %d and limit %d are out of range", offset, limit)
	}
	req, err := l.request(ctx, http.MethodGet, nil, "topics", topic, "partitions", "0", "messages")
	if err != nil {
		return nil, err
	}
	query := url.Values{}
	query.Set("offset", strconv.FormatInt(offset, 10))
	query.Set("count", strconv.Itoa(limit))
	req.URL.RawQuery = query.Encode()
	req.Header.Set("Accept", binaryContentType)
	var records []Record
	_, err = l.do(req, func(body io.Reader) (err error) {
		records, err = parseRecords(body, offset, limit)
		return err
	})
	switch {
	case errors.Is(err, bounded.ErrTooLong) && len(records) > 0:
		return records, wrapSentinel(ErrMoreRecords, errors.Wrap(err, "read"))
	case err != nil:
		return nil, errors.Wrap(err, "read")
	}
	return records, nil
}

// parseRecords returns the records in the response to a read of up to limit records at the offset.
// Their offsets must be consecutive. With an error it returns the records before it.
func parseRecords(body io.Reader, offset int64, limit int) ([]Record, error) {
	records := []Record{}
	err := decodeList(body, maxRecordsBytes, limit, func(d *bounded.Decoder) error {
		var entry consumedRecord
		if err := d.Decode(&entry); err != nil {
			return err
		}
		want := offset + int64(len(records))
		if entry.Offset == nil || *entry.Offset != want || entry.Partition != 0 {
			return errors.Newf("record %d is not offset %d of partition 0", len(records), want)
		}
		value, err := base64.StdEncoding.DecodeString(entry.Value)
		if err != nil {
			value = unreadableValue
		}
		records = append(records, Record{Offset: want, Value: value})
		return nil
	})
	return records, err
}

// Bounds returns the range of offsets that the topic retains.
func (l *HTTPLog) Bounds(ctx context.Context, topic string) (Bounds, error) {
	req, err := l.request(ctx, http.MethodGet, nil, "topics", topic, "partitions", "0", "offsets")
	if err != nil {
		return Bounds{}, err
	}
	req.Header.Set("Accept", metadataContentType)
	var response offsetsResponse
	if _, err := l.do(req, func(body io.Reader) error { return decodeJSON(body, &response) }); err != nil {
		return Bounds{}, errors.Wrap(err, "bounds")
	}
	if response.Beginning == nil || response.End == nil {
		return Bounds{}, errors.New("bounds: beginning_offset or end_offset is missing")
	}
	if *response.Beginning < 0 || *response.End < *response.Beginning {
		return Bounds{}, errors.Newf("bounds: offsets %d to %d are out of order", *response.Beginning, *response.End)
	}
	return Bounds{First: *response.Beginning, Next: *response.End}, nil
}

// request builds a request to the path elements, of which the second is the topic.
func (l *HTTPLog) request(ctx context.Context, method string, body []byte, path ...string) (*http.Request, error) {
	if path[1] == "" || path[1] == "." || path[1] == ".." {
		return nil, errors.Newf("topic name %q is not valid", path[1])
	}
	for i := range path {
		path[i] = url.PathEscape(path[i])
	}
	target := l.base.JoinPath(path...)
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	return req, errors.Wrap(err, "build request")
}

// do sends the request, and calls decode with the body of the response if its status is 200. Any other status is an error. It returns
// the status, 0 if there is no response or the body of an error is cut.
func (l *HTTPLog) do(req *http.Request, decode func(body io.Reader) error) (int, error) {
	resp, err := l.service.DoRequest(req)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return resp.StatusCode, decode(resp.Body)
	}
	data, err := bounded.ReadAll(resp.Body, maxErrorBytes)
	if err != nil && !errors.Is(err, bounded.ErrTooLong) { // of a long body, what was read is decoded
		return 0, errors.Wrapf(err, "read body of status %d", resp.StatusCode)
	}
	return resp.StatusCode, statusError(resp.StatusCode, data)
}

func statusError(status int, data []byte) error {
	var response errorResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return errors.Newf("service returned status %d", status)
	}
	err := errors.Newf("service returned status %d: error %d: %s", status, response.ErrorCode, response.Message)
	if status == http.StatusNotFound && response.ErrorCode == codeOffsetExpired {
		return wrapSentinel(ErrOffsetExpired, err)
	}
	return err
}
