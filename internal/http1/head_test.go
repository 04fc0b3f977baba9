package http1

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
)

// check checks a head that arrives in parts of the given size.
func check(head string, partBytes int) (rest string, complete bool, err error) {
	var c HeadChecker
	for len(head) > 0 {
		part := head[:min(partBytes, len(head))]
		n, complete, err := c.Check([]byte(part))
		if complete || err != nil {
			return head[n:], complete, err
		}
		head = head[len(part):]
	}
	return "", false, nil
}

func TestValidHeadsAreAccepted(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 \r\nA: b\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n", // without the space before an empty reason
		"HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.7 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n",
		"HTTP/1.1 599 \t h\u00e9\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n", // RFC 9112, section 2.2
		"HTTP/1.1 200 OK\r\nA:\r\nB: \t \r\nC:a \t b\t\r\n!#$%&'*+-.^_`|~9z: \xff\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length:5 \r\n\r\n", // RFC 9110, section 8.6
	} {
		for _, partBytes := range []int{1, 7, len(head) + 4} {
			rest, complete, err := check(head+"body", partBytes)
			assert.NoError(t, err, "%q", head)
			assert.True(t, complete, "%q", head)
			assert.Equal(t, "body", rest, "%q", head)
		}
	}
}

func TestHeadsThatAreNotOfAnAnswerAreInvalid(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	heads := []string{
		"\r\n", "HTTP/1.1\r\n", "HTTP/1.1 20\r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 200OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 2 0 OK\r\n", "no answer\r\n",
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/3.7 200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/1.10 200 OK\r\n", "HTTP/1 200 OK\r\n",
		"HTTP/1.1  200 OK\r\n", "HTTP/1.1\t200 OK\r\n", " HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1 200 OK\r\r\n",
		ok + "Transfer-Encoding: gzip, chunked\r\n", ok + "Transfer-Encoding: identity\r\n", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		ok + "Content-Length: 5\r\nContent-Length: 6\r\n", ok + "Content-Length: 5, 5\r\n", ok + "Content-Length: -1\r\n", ok + "Content-Length: +5\r\n", ok + "Content-Length:\r\n", ok + "Content-Length: 0x5\r\n",
		ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		ok + "A: b\r\n c\r\n", ok + "A: b\r\n\tc\r\n", ok + " A: b\r\n", ok + "Content-Length:\r\n 5\r\n",
		ok + "no colon\r\n", ok + ": empty\r\n", ok + "A: b\rc\r\n", ok + "A: b\x00\r\n", ok + "A: b\x7f\r\n", ok + " \r\n",
	}
	for _, b := range "\x00\x01\t\x1f \x7f\u0080\"(),/;<=>?@[\\]{}" {
		heads = append(heads, ok+"X"+string(b)+"Odd: 1\r\n", ok+string(b)+"Odd: 1\r\n", ok+"X-Odd"+string(b)+": 1\r\n", ok+"Content-Length"+string(b)+": 5\r\n")
	}
	for _, head := range heads {
		for _, partBytes := range []int{1, 7, len(head)} {
			_, _, err := check(head, partBytes)
			assert.True(t, errors.Is(err, ErrInvalidHead), "%q: %v", head, err)
		}
	}
}

func TestIncompleteHeadIsNotComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: " + strings.Repeat("b", 100) + "\r\n\r\n"
	for n := range len(head) {
		_, complete, err := check(head[:n], 3)
		assert.NoError(t, err, "%q", head[:n])
		assert.False(t, complete, "%q", head[:n])
	}
}

// Guards against an answer that has broken off and is joined with the next one on its connection, so that its status or its fields count for that.
func TestHeadThatHasBrokenOffIsNotJoinedWithTheNextOne(t *testing.T) {
	const own = "Id: b\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody"
	for _, broken := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nId: a\r\nRetry-After: 1\r\nNot-Run: 1\r\n\r\n",
		"HTTP/1.1 204\r\nId:a \r\n\r\n",
		"HTTP/1.0 200 OK\nServer-Limit: 3\n\n",
	} {
		for _, status := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 500 Internal Server Error\r\n", "HTTP/1.1 204\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"} {
			for sent := 1; sent < len(broken)-1; sent++ { // the last byte of an end of a line may be missing: a bare LF ends one, too
				for _, partBytes := range []int{1, 7, len(broken)} {
					_, complete, err := check(broken[:sent]+status+own, partBytes)
					assert.True(t, errors.Is(err, ErrInvalidHead) && !complete, "%q, %q: %v", broken[:sent], status, err)
				}
			}
		}
	}
	for _, sound := range []string{"Via: HTTP/1.1 proxy", "Via: HTTP/1.1 200.example", "Server: x HTTP/1.1", "Upgrade: HTTP/1.1, HTTP/2.0", "X: HTTP/1.1 2000 x"} {
		_, complete, err := check("HTTP/1.1 200 HTTP/1.1 spoken\r\n"+sound+"\r\n\r\n", 7)
		assert.True(t, complete && err == nil, "%q: %v", sound, err)
	}
}
