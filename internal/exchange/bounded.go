package exchange

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// maxRequestBytes limits a request of a peer. The longest ones hold 256 digests of 8 bytes.
	maxRequestBytes = 64 << 10
	// maxReplyBytes limits the answer to a pull.
	maxReplyBytes = 4 << 20
	// maxReplyFields limits the fields of an answer to a pull, which are mostly entries of lists. An empty entry has 2 bytes,
	// and some 130 when it is decoded.
	maxReplyFields = 64 << 10
)

// readerOptions returns the options of a connection on which messages of up to so many bytes are received.
func readerOptions(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}

// boundedConn is a connection that doesn't decode answers of more than maxReplyFields.
type boundedConn struct{ drpc.Conn }

// Invoke implements drpc.Conn.
func (c boundedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, boundedEncoding{enc}, in, out)
}

// boundedEncoding doesn't decode messages of more than maxReplyFields.
type boundedEncoding struct{ drpc.Encoding }

// Unmarshal implements drpc.Encoding.
func (e boundedEncoding) Unmarshal(data []byte, message drpc.Message) error {
	for rest, fields := data, 0; len(rest) > 0; fields++ {
		if fields == maxReplyFields {
			return errors.Newf("answer of a peer has more than %d fields", maxReplyFields)
		}
		_, _, n := protowire.ConsumeField(rest)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "answer of a peer")
		}
		rest = rest[n:]
	}
	return e.Encoding.Unmarshal(data, message)
}
