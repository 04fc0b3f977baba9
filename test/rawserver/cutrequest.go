package rawserver

import (
	"fmt"
	"io"
	"net"
	"time"
)

// CutRequest is a request of which a caller sends only a part of the body before its connection ends.
type CutRequest struct {
	Chunked   bool
	SentBytes int // of the body, of which one byte is never sent
	Reset     bool
	Pause     time.Duration // before the end
}

// String implements fmt.Stringer.
func (r CutRequest) String() string {
	return fmt.Sprintf("chunked %t, %d bytes, reset %t, after %v", r.Chunked, r.SentBytes, r.Reset, r.Pause)
}

// CutRequests returns requests with each framing, end and several sizes.
func CutRequests() []CutRequest {
	var requests []CutRequest
	for _, chunked := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			for _, sent := range []int{0, 1, 2000, 200_000} {
				for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
					requests = append(requests, CutRequest{chunked, sent, reset, pause})
				}
			}
		}
	}
	return requests
}

// Send sends the head, without an empty line at its end, and the part of the body to the address, and ends the connection. A request in
// chunks lacks its last chunk only.
func (r CutRequest) Send(address, head string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	body := make([]byte, r.SentBytes)
	for i := range body {
		body[i] = 'x'
	}
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, r.SentBytes+1, body)
	if r.Chunked {
		text = head + "Transfer-Encoding: chunked\r\n\r\n"
		if r.SentBytes > 0 {
			text += fmt.Sprintf("%x\r\n%s\r\n", r.SentBytes, body)
		}
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	time.Sleep(r.Pause)
	if r.Reset {
		return conn.(*net.TCPConn).SetLinger(0)
	}
	return nil
}
