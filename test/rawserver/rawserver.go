// Package rawserver is a server for tests whose answers are not those of a sound server: they are cut, reset or have an invalid head.
package rawserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Framing is how the end of a body is marked.
type Framing string

// Framings.
const (
	Length     Framing = "length"
	Chunks     Framing = "chunks"
	Connection Framing = "connection"        // by its end
	Both       Framing = "length and chunks" // not valid (RFC 9112, section 6.3)
)

// Framings are all framings.
var Framings = []Framing{Length, Chunks, Connection, Both}

// End is how an answer and its connection end.
type End string

// Ends. Those but Whole leave out the last two bytes of the body.
const (
	Whole             End = "whole"
	Closed            End = "closed early"
	ResetBeforeUpload End = "reset before the upload is read"
	ResetInUpload     End = "reset while the upload is read"
	ResetAfterUpload  End = "reset after the upload"
	ServerEnds        End = "closed early with all of its process" // as when the process is killed
)

// Ends are the ends at which the server goes on.
var Ends = []End{Whole, Closed, ResetBeforeUpload, ResetInUpload, ResetAfterUpload}

// pause is the time between the last byte of an answer and the reset of its connection, in which the client reads the answer.
const pause = 5 * time.Millisecond

// Answer is an answer of a server.
type Answer struct {
	StatusLine string // "HTTP/1.1 200 OK" for none
	Fields     string // besides the framing, each ends with a line feed
	Body       string // with two spaces behind it, which belong to the body
	Framing    Framing
	End        End
}

// String implements fmt.Stringer.
func (a Answer) String() string {
	return fmt.Sprintf("%q, %q, framed by %s, %s", a.StatusLine, a.Fields, a.Framing, a.End)
}

// IsWhole reports whether the framing and the end are those of a whole answer, as far as a client can know. The end of a body without
// a length looks the same everywhere.
func (a Answer) IsWhole() bool {
	return a.Framing != Both && a.End == Whole || a.Framing == Connection && a.End == Closed
}

// text returns what is sent.
func (a Answer) text() string {
	const padding = "  "
	line, framing, body := a.StatusLine, "", a.Body
	if line == "" {
		line = "HTTP/1.1 200 OK"
	}
	if a.Framing == Length || a.Framing == Both {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(a.Body+padding))
	}
	switch {
	case a.Framing == Chunks || a.Framing == Both:
		framing += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n", len(a.Body), a.Body)
		if a.End == Whole {
			body += "2\r\n" + padding + "\r\n0\r\n\r\n"
		}
	case a.End == Whole:
		body += padding
	}
	return line + "\r\n" + a.Fields + framing + "\r\n" + body
}

// send answers a request, of which the head was read, and ends the connection.
func (a Answer) send(conn *net.TCPConn, r *http.Request) {
	if a.End != ResetBeforeUpload && a.End != ResetInUpload { // the kernel resets a connection that is closed with unread data
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(conn, a.text())
	if a.End == Whole || a.End == Closed || a.End == ServerEnds {
		return
	}
	if a.End == ResetInUpload {
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
	}
	time.Sleep(pause)
	_ = conn.SetLinger(0) // fails on closed connections only
}

// Serve starts a server that answers each request, on a connection of its own, with what answer returns. It returns the address.
func Serve(t testing.TB, answer func(r *http.Request) Answer) string {
	t.Helper()
	p := listen(t, "")
	go p.accept(func(conn *net.TCPConn, r *http.Request) (keep bool) {
		a := answer(r)
		a.send(conn, r)
		if a.End == ServerEnds {
			p.Kill()
		}
		return false
	})
	return p.Address
}

// ServeAnswer starts a server that gives each request the answer. It returns the address.
func ServeAnswer(t testing.TB, a Answer) string {
	t.Helper()
	return Serve(t, func(*http.Request) Answer { return a })
}

// Broken returns all answers with the status line of a final answer, the fields and the body that are not whole or have an invalid head.
// reason is the status and the reason, such as "200 OK".
func Broken(reason, fields, body string) []Answer {
	var answers []Answer
	for _, framing := range Framings {
		for _, end := range Ends {
			if a := (Answer{"HTTP/1.1 " + reason, fields, body, framing, end}); !a.IsWhole() {
				answers = append(answers, a)
			}
		}
	}
	return append(answers, faultyHeads(reason, fields, body)...)
}

// faultyHeads returns answers that are whole but have an invalid head.
func faultyHeads(reason, fields, body string) []Answer {
	status := reason[:3]
	answers := []Answer{{"HTTP/1.0 " + reason, fields, body, Chunks, Whole}}
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/2.0 " + reason, "HTTP/1.1  " + reason, "HTTP/1.1 " + status + " \x01"} {
		answers = append(answers, Answer{line, fields, body, Length, Whole})
	}
	for _, field := range []string{"X Odd: 1\r\n", "X-Odd : 1\r\n", "X-Odd\x01: 1\r\n", "Content-Length:\r\n 2\r\n", "Transfer-Encoding : chunked\r\n", " X-Odd: 1\r\n", "X-Odd: \x00\r\n"} {
		answers = append(answers, Answer{"HTTP/1.1 " + reason, fields + field, body, Connection, Whole})
	}
	return answers
}
