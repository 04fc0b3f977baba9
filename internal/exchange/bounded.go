package exchange

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
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

const (
	// minEntryBytes is less than any entry of a list takes in a datagram of a daemon: each holds a hash of 8 bytes or a name.
	minEntryBytes = 8
	// maxRetainedEntries limits the entries in the states and summaries that are kept, some 100 bytes each. In a fleet of 390
	// daemons in 18 zones with 1,500 servers, there are up to 130,000.
	maxRetainedEntries = 300_000
	// maxAddresses limits the known control addresses.
	maxAddresses = 4096
)

// datagramEntries returns the number of entries of all lists in a datagram.
func datagramEntries(d *pb.Datagram) int {
	n := stateEntries(d.State) + zoneEntries(d.Zone) + zoneEntries(d.OwnZone)
	for _, z := range d.Forwarded {
		n += zoneEntries(z)
	}
	return n + len(d.GetOrigins().GetRecords()) + len(d.GetOrigins().GetAnswers())
}

// stateEntries returns the number of entries of all lists in a state, which may be nil.
func stateEntries(s *pb.State) int {
	n := viewEntries(s.GetView()) + len(s.GetMembers())
	for _, z := range s.GetZones() {
		n += zoneEntries(z)
	}
	return n
}

// zoneEntries returns the number of entries of all lists in a summary, which may be nil, with the summary itself.
func zoneEntries(z *pb.Zone) int {
	if z == nil {
		return 0
	}
	n := 1 + viewEntries(z.View) + len(z.Members) + len(z.Included)
	for _, i := range z.Included {
		n += len(i.Demands)
	}
	return n
}

// viewEntries returns the number of entries of all lists in a view, which may be nil.
func viewEntries(v *pb.View) int {
	if v == nil {
		return 0
	}
	n := len(v.Servers) + len(v.Accounts) + len(v.Placements) + len(v.Withdrawn) + len(v.Models) + len(v.Suspects) + len(v.Limits) +
		len(v.Demands) + len(v.GetEvacuations().GetZones())
	for _, s := range v.Suspects {
		n += len(s.Ends)
	}
	return n
}

// mayRetain reports whether a state or summary with so many entries may replace one with replaced entries, 0 for none. The caller
// holds the lock.
func (x *Exchange) mayRetain(entries, replaced int) bool {
	total := entries - replaced
	for _, p := range x.peers {
		total += p.entries
	}
	for _, z := range x.zones {
		total += z.entries
	}
	return total <= maxRetainedEntries
}
