package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// RecordKind is the type of the payload of a log record.
type RecordKind string

// Record kinds.
const (
	RecordTicket RecordKind = "ticket" // a change ticket
	RecordState  RecordKind = "state"  // a snapshot of the state
)

// Record is the JSON envelope of a log record. Ticket or Snapshot is set,
// depending on Kind.
type Record struct {
	Kind     RecordKind `json:"kind"`
	Ticket   *Ticket    `json:"ticket,omitempty"`
	Snapshot *Snapshot  `json:"snapshot,omitempty"`
}

// rawRecord is a Record whose ticket is not decoded, so that Parse can validate it.
type rawRecord struct {
	Kind     RecordKind      `json:"kind"`
	Ticket   json.RawMessage `json:"ticket"`
	Snapshot *Snapshot       `json:"snapshot"`
}

// Encode returns the log record of a ticket. Tickets with equal digests have
// equal encodings.
func Encode(t Ticket) ([]byte, error) {
	t = canonical(t)
	data, err := json.Marshal(Record{Kind: RecordTicket, Ticket: &t})
	return data, errors.Wrap(err, "encode ticket")
}

// EncodeSnapshot returns the log record of a snapshot.
func EncodeSnapshot(snapshot Snapshot) ([]byte, error) {
	data, err := json.Marshal(Record{Kind: RecordState, Snapshot: &snapshot})
	return data, errors.Wrap(err, "encode snapshot")
}

// Digest returns the hexadecimal SHA-256 of the ticket's canonical JSON.
// It does not depend on the order of objects and key hashes, nor on surrounding
// white space in the author and the reason.
func Digest(t Ticket) string {
	sum := digest(t)
	return hex.EncodeToString(sum[:])
}

func digest(t Ticket) [sha256.Size]byte {
	data, err := json.Marshal(canonical(t))
	if err != nil {
		// Only a weight that is NaN or infinite fails to encode, and Parse rejects those.
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

// canonical returns a copy with objects sorted by ID, key hashes sorted and no
// white space around the author and the reason.
func canonical(t Ticket) Ticket {
	t.Author = strings.TrimSpace(t.Author)
	t.Reason = strings.TrimSpace(t.Reason)
	t.Accounts = slices.Clone(t.Accounts)
	t.Services = slices.Clone(t.Services)
	t.Servers = slices.Clone(t.Servers)
	for i := range t.Accounts {
		hashes := append([]string{}, t.Accounts[i].KeyHashes...)
		slices.Sort(hashes)
		t.Accounts[i].KeyHashes = hashes
	}
	slices.SortFunc(t.Accounts, func(a, b Account) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(t.Services, func(a, b Service) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(t.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return t
}
