package exchange

import (
	"slices"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

const (
	// maxRequestBytes limits a request of a peer. The longest ones hold 256 digests of 8 bytes.
	maxRequestBytes = 64 << 10
	// maxReplyBytes limits the answer to a pull.
	maxReplyBytes = 4 << 20
	// maxReplyEntries limits the entries of all lists in an answer to a pull.
	maxReplyEntries = 64 << 10
)

// readerOptions returns the options of a connection on which messages of up to so many bytes are received.
func readerOptions(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}

const (
	// minEntryBytes is less than any entry of a list takes in a datagram of a daemon: each holds a hash of 8 bytes or a name.
	minEntryBytes = 8
	// quartersPerEntry is the number of quarters of an account that count as one entry. Accounts have four.
	quartersPerEntry = 4
	// maxRetainedEntries limits the entries in the states and summaries that are kept, some 100 bytes each. In a fleet of 390
	// daemons in 18 zones with 1,500 servers, there are up to 130,000.
	maxRetainedEntries = 300_000
	// retainedEntryBytes is the size in a datagram that counts as one of them, for what has long names or unknown fields.
	retainedEntryBytes = 25
	// maxMemberBytes limits the names and addresses of a member, which are kept with its control address.
	maxMemberBytes = 2 << 10
	// maxAddresses limits the known control addresses.
	maxAddresses = 4096
)

// datagramEntries returns the number of entries of all lists in a datagram.
func datagramEntries(d *pb.Datagram) int {
	n := stateEntries(d.State) + zoneEntries(d.Zone) + zoneEntries(d.OwnZone)
	for _, z := range d.Forwarded {
		n += zoneEntries(z)
	}
	n += len(d.GetStoreNews().GetWithdrawn())
	return n + len(d.GetOrigins().GetRecords()) + len(d.GetOrigins().GetAnswers()) + len(d.GetOrigins().GetVersions())
}

// hasLongMember reports whether a member in the datagram has names and addresses of more than maxMemberBytes.
func hasLongMember(d *pb.Datagram) bool {
	isLong := func(m *pb.Member) bool {
		return len(m.GetId())+len(m.GetZone())+len(m.GetRegion())+len(m.GetEntryAddress())+len(m.GetControlAddress()) > maxMemberBytes
	}
	inZone := func(z *pb.Zone) bool { return isLong(z.GetDelegate()) || slices.ContainsFunc(z.GetMembers(), isLong) }
	return isLong(d.GetState().GetMember()) || slices.ContainsFunc(d.GetState().GetMembers(), isLong) ||
		slices.ContainsFunc(d.GetState().GetZones(), inZone) || slices.ContainsFunc(d.Forwarded, inZone) || inZone(d.Zone) || inZone(d.OwnZone)
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
		len(v.Demands) + len(v.GetEvacuations().GetZones()) + len(v.Refused)
	for _, s := range v.Suspects {
		n += len(s.Ends)
	}
	for _, a := range v.Accounts {
		n += len(a.Quarters) / quartersPerEntry
	}
	return n
}

// retainedEntries returns what a state or summary of so many entries counts in mayRetain. It must not count as less than the
// datagram takes in which it was received.
func (x *Exchange) retainedEntries(entries int) int {
	return max(entries, x.datagramBytes/retainedEntryBytes)
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
