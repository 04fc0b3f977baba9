package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerBytes and answerBodyTimeout limit what is read of the body of an answer to a question, so that its connection can be kept.
	maxAnswerBytes    = 4 << 10
	answerBodyTimeout = 50 * time.Millisecond
)

// Question is a request that any server answers without effect.
type Question struct {
	Method string
	Head   []byte // request line and header
	// Accept returns an error if the answer is not one of the server.
	Accept func(*http.Response) error
}

// Ping returns the question for servers without a health check (RFC 9110, section 9.3.7). Any status counts: it names no server, so that one may
// well answer 421 (Misdirected Request).
func Ping(address string) Question {
	return Question{
		Method: http.MethodOptions,
		Head:   []byte("OPTIONS * HTTP/1.1\r\nHost: " + address + "\r\n\r\n"),
		Accept: func(*http.Response) error { return nil },
	}
}

// Ask sends the question and reads the answer. An answer shows that the process which has accepted the connection runs. keep reports whether the
// connection can be used again; a deadline of the caller is then removed.
func (c *Conn) Ask(q Question) (keep bool, err error) {
	if _, err := c.Send(q.Head, nil); err != nil {
		return false, err
	}
	response, err := c.Receive(q.Method)
	if err != nil {
		return false, err
	}
	if err := q.Accept(response); err != nil {
		return false, err
	}
	if err := c.SetDeadline(time.Now().Add(answerBodyTimeout)); err != nil {
		return false, nil //nolint:nilerr // the answer has arrived, the connection is closed
	}
	n, err := io.CopyN(io.Discard, response.Body, maxAnswerBytes)
	return errors.Is(err, io.EOF) && n < maxAnswerBytes && c.Reusable() && c.SetDeadline(time.Time{}) == nil, nil
}
