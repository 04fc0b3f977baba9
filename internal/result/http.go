package result

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HTTP headers of an error answer.
const (
	HeaderResultCode  = "X-Result-Code"
	HeaderOutcome     = "X-Outcome"
	HeaderRetryAfter  = "Retry-After"    // whole seconds
	HeaderShouldRetry = "X-Should-Retry" // read by OpenAI's client libraries
)

// MinRetryAfter is the minimum delay that a caller is asked to wait before a retry.
const MinRetryAfter = time.Second

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	ResultCode   int    `json:"result_code"`
	Outcome      Class  `json:"outcome"`
	Retry        Retry  `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms"` // 0 if a retry is of no use
}

// WriteHTTP writes err as a complete HTTP answer in OpenAI's error format. It writes nothing if err is
// nil.
func WriteHTTP(w http.ResponseWriter, err error) {
	e := From(err)
	if e == nil {
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderResultCode, strconv.Itoa(int(e.Code)))
	h.Set(HeaderOutcome, string(e.Class()))
	h.Set(HeaderShouldRetry, strconv.FormatBool(e.Code.Retry() == RetrySameDaemon))
	if wait := retryAfter(e); wait > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(ceilUnits(wait, time.Second), 10))
	}
	w.WriteHeader(e.Code.HTTPStatus())
	// If the write fails, the caller has disconnected and can't be notified.
	_, _ = w.Write(append(encode(e), '\n'))
}

// SSE encodes err as a server-sent event of type "error", for an answer whose stream has started. It
// returns nil if err is nil.
func SSE(err error) []byte {
	e := From(err)
	if e == nil {
		return nil
	}
	event := []byte("event: error\ndata: ")
	event = append(event, encode(e)...)
	return append(event, "\n\n"...)
}

func encode(e *Error) []byte {
	data, err := json.Marshal(errorResponse{Error: errorDetail{
		Message:      e.Message,
		Type:         openAIErrorType(e.Code.HTTPStatus()),
		Code:         e.Code.Name(),
		ResultCode:   int(e.Code),
		Outcome:      e.Class(),
		Retry:        e.Code.Retry(),
		RetryAfterMS: ceilUnits(retryAfter(e), time.Millisecond),
	}})
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return data
}

// retryAfter returns the delay before a retry, or 0 if the caller should not retry.
func retryAfter(e *Error) time.Duration {
	if !e.Code.Retryable() {
		return 0
	}
	return max(e.RetryAfter, MinRetryAfter)
}

// ceilUnits returns d in the given unit, rounded up.
func ceilUnits(d, unit time.Duration) int64 {
	n := int64(d / unit)
	if d%unit > 0 {
		n++
	}
	return n
}

func openAIErrorType(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusForbidden:
		return "permission_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	}
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}
