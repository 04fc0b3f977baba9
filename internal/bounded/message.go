package bounded

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"storj.io/drpc"
)

const (
	// maxDepth limits the nesting of messages.
	maxDepth = 50
	// packedEntryBytes is the size of the part of a packed list of numbers that counts as one entry. Numbers take up to eight times
	// as much when they are decoded.
	packedEntryBytes = 128
)

// CheckEntries returns an error if the encoded message and the messages in it hold more than maxEntries messages and entries of lists.
// An empty entry has 2 bytes, and some 130 when it is decoded.
func CheckEntries(data []byte, message protoreflect.MessageDescriptor, maxEntries int) error {
	left := maxEntries
	if err := countEntries(data, message, &left, maxDepth); err != nil {
		return err
	}
	if left < 0 {
		return errors.Newf("message has more than %d entries", maxEntries)
	}
	return nil
}

// countEntries subtracts the entries from left. It ends when there are none left.
func countEntries(data []byte, message protoreflect.MessageDescriptor, left *int, depth int) error {
	if depth == 0 {
		return errors.New("message is nested too deeply")
	}
	for len(data) > 0 && *left >= 0 {
		number, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "read field of message")
		}
		size := protowire.ConsumeFieldValue(number, wireType, data[n:])
		if size < 0 {
			return errors.Wrap(protowire.ParseError(size), "read field of message")
		}
		value := data[n : n+size]
		data = data[n+size:]
		field := message.Fields().ByNumber(number)
		if field == nil {
			continue // what is unknown is kept as it is encoded
		}
		switch {
		case field.Message() != nil && wireType == protowire.BytesType:
			*left--
			content, _ := protowire.ConsumeBytes(value) // was consumed above
			if err := countEntries(content, field.Message(), left, depth-1); err != nil {
				return err
			}
		case field.IsPacked() && wireType == protowire.BytesType:
			*left -= 1 + len(value)/packedEntryBytes
		case field.IsList():
			*left--
		}
	}
	return nil
}

// encoding doesn't decode messages of more entries.
type encoding struct {
	drpc.Encoding
	maxEntries int
}

// Unmarshal implements drpc.Encoding.
func (e encoding) Unmarshal(data []byte, message drpc.Message) error {
	if m, ok := message.(proto.Message); ok {
		if err := CheckEntries(data, m.ProtoReflect().Descriptor(), e.maxEntries); err != nil {
			return err
		}
	}
	return e.Encoding.Unmarshal(data, message)
}

// Conn is a connection that doesn't decode messages of more than MaxEntries entries.
type Conn struct {
	drpc.Conn
	MaxEntries int
}

// Invoke implements drpc.Conn.
func (c Conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, encoding{enc, c.MaxEntries}, in, out)
}

// NewStream implements drpc.Conn.
func (c Conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	s, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return stream{s, c.MaxEntries}, nil
}

// stream doesn't decode messages of more entries.
type stream struct {
	drpc.Stream
	maxEntries int
}

// MsgRecv implements drpc.Stream.
func (s stream) MsgRecv(message drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(message, encoding{enc, s.maxEntries})
}

// Handler returns a handler that doesn't decode messages of more than maxEntries entries.
func Handler(next drpc.Handler, maxEntries int) drpc.Handler { return handler{next, maxEntries} }

type handler struct {
	next       drpc.Handler
	maxEntries int
}

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(s drpc.Stream, rpc string) error {
	return h.next.HandleRPC(stream{s, h.maxEntries}, rpc)
}
