package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientKey is the API key of the only tenant.
const clientKey = "asnmgkcuyj8pjbvk9m68"

// client is a stand-in of a client: it sends one request at a time on a kept connection to one daemon.
type client struct {
	address string
	rec     *record
	conn    net.Conn
	reader  *bufio.Reader
}

// call is a request of a client.
type call struct {
	id       string
	method   string
	path     string
	header   string // further lines, each with its end
	body     []byte
	deadline time.Duration
	// bytesPerSecond limits the rate at which the body is sent; 0 for no limit.
	bytesPerSecond float64
}

// outcome is what a client saw.
type outcome struct {
	sentAt    time.Time
	kept      bool // the connection had been used for an earlier request
	status    int  // 0 for none
	signature string
	attempt   string // X-Attempt-Id of the answer
	body      []byte
	whole     bool // the answer ended as complete
	err       error
}

func (o outcome) String() string {
	text := fmt.Sprintf("%d, signature %q, %d bytes, whole=%t", o.status, o.signature, len(o.body), o.whole)
	if o.err != nil {
		text += ", error: " + o.err.Error()
	}
	return text
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends the request and reads the answer. Informational answers (1xx) are skipped, as HTTP/1.1 requires.
func (c *client) do(r call) (o outcome) {
	o.sentAt = time.Now()
	defer func() {
		if o.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	} else {
		o.kept = true
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		r.method, r.path, r.id, r.deadline.Milliseconds(), clientKey)
	head.WriteString(r.header)
	if r.method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	_ = c.conn.SetDeadline(o.sentAt.Add(r.deadline))
	if o.err = c.write(head.Bytes(), r); o.err != nil {
		return o
	}
	var response *http.Response
	for {
		if response, o.err = http.ReadResponse(c.reader, &http.Request{Method: r.method}); o.err != nil {
			return o
		}
		if response.StatusCode >= 200 {
			break
		}
		c.rec.printf("client: %s gets the informational answer %d", r.id, response.StatusCode)
	}
	o.status = response.StatusCode
	o.signature = response.Header.Get("X-Runner-Signature")
	o.attempt = response.Header.Get("X-Attempt-Id")
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		o.body = append(o.body, buffer[:n]...)
		if errors.Is(err, io.EOF) {
			o.whole = true
			break
		}
		if err != nil {
			o.err = err
			return o
		}
	}
	if response.Close {
		c.close()
	}
	return o
}

// write sends the head and the body of a request, at its rate.
func (c *client) write(head []byte, r call) error {
	if r.bytesPerSecond == 0 {
		_, err := c.conn.Write(append(head, r.body...))
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	const piece = 32 << 10
	started := time.Now()
	for sent := 0; sent < len(r.body); {
		n, err := c.conn.Write(r.body[sent:min(len(r.body), sent+piece)])
		if err != nil {
			return err
		}
		sent += n
		time.Sleep(time.Until(started.Add(time.Duration(float64(sent) / r.bytesPerSecond * float64(time.Second)))))
	}
	return nil
}
