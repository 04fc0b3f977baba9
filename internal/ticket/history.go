package ticket

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// HistoryLimit is the maximum number of ticket numbers in the history of a state.
//
// A repeated ticket is recognised while its number is in the history. At 1,100
// tickets a day the limit covers 18 days, far longer than any sender retries.
// Numbers are evicted in ascending order, and every number at or below the
// highest evicted one is rejected. A ticket can therefore never take effect
// twice; the only cost is that a late repeat is rejected with ReasonForgotten
// instead of the first verdict. An entry takes about 24 bytes in a snapshot,
// which keeps the whole history below 1 MB.
const HistoryLimit = 20_000

// digestPrefixSize is the number of leading bytes of a ticket's SHA-256 that the
// history stores.
const digestPrefixSize = 16

var errMalformedHistory = errors.New("history is malformed")

// storedReasons lists the reasons that an entry can have. The index is the code
// in an encoded history, so the order must not change.
var storedReasons = []Reason{ReasonNone, ReasonStale, ReasonUnknownService, ReasonKeyInUse}

// entry describes the first record of a ticket number.
type entry struct {
	number       uint64
	offset       int64
	reason       Reason // ReasonNone when the ticket was applied
	digestPrefix [digestPrefixSize]byte
}

// history holds the entries of the highest ticket numbers in ascending order.
type history struct {
	limit    int
	lowWater uint64 // highest evicted number
	entries  []entry
}

func (h *history) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(h.entries, number, func(e entry, n uint64) int {
		if e.number < n {
			return -1
		}
		if e.number > n {
			return 1
		}
		return 0
	})
}

func (h *history) find(number uint64) (entry, bool) {
	i, found := h.search(number)
	if !found {
		return entry{}, false
	}
	return h.entries[i], true
}

// add inserts an entry, evicts the lowest one if the limit is exceeded, and
// reports whether it evicted one.
func (h *history) add(e entry) bool {
	i, found := h.search(e.number)
	if found {
		return false
	}
	h.entries = slices.Insert(h.entries, i, e)
	if len(h.entries) <= h.limit {
		return false
	}
	h.lowWater = h.entries[0].number
	h.entries = h.entries[1:]
	return true
}

// encode returns the binary form of the entries. Each is the difference of its
// number from the previous one (uvarint), that of its offset (varint), the index
// of its reason in storedReasons (one byte), and the digest prefix.
func (h *history) encode() []byte {
	var out []byte
	var prevNumber uint64
	var prevOffset int64
	for _, e := range h.entries {
		out = binary.AppendUvarint(out, e.number-prevNumber)
		out = binary.AppendVarint(out, e.offset-prevOffset)
		out = append(out, byte(slices.Index(storedReasons, e.reason)))
		out = append(out, e.digestPrefix[:]...)
		prevNumber, prevOffset = e.number, e.offset
	}
	return out
}

// decodeHistory is the inverse of history.encode. It fails if the numbers are not
// ascending and above lowWater, or if there are more entries than the limit.
func decodeHistory(limit int, lowWater uint64, data []byte) (history, error) {
	h := history{limit: limit, lowWater: lowWater}
	reader := bytes.NewReader(data)
	prev := entry{}
	for reader.Len() > 0 {
		next, err := decodeEntry(reader, prev)
		if err != nil {
			return history{}, err
		}
		if next.number <= max(prev.number, lowWater) {
			return history{}, errors.Wrap(errMalformedHistory, "ticket numbers are not ascending")
		}
		h.entries = append(h.entries, next)
		prev = next
	}
	if len(h.entries) > limit {
		return history{}, errors.Wrap(errMalformedHistory, "more entries than the limit")
	}
	return h, nil
}

func decodeEntry(reader *bytes.Reader, prev entry) (entry, error) {
	numberDelta, err := binary.ReadUvarint(reader)
	if err != nil {
		return entry{}, errors.Wrap(errMalformedHistory, "read number of entry")
	}
	offsetDelta, err := binary.ReadVarint(reader)
	if err != nil {
		return entry{}, errors.Wrap(errMalformedHistory, "read offset of entry")
	}
	code, err := reader.ReadByte()
	if err != nil || int(code) >= len(storedReasons) {
		return entry{}, errors.Wrap(errMalformedHistory, "read reason code of entry")
	}
	e := entry{number: prev.number + numberDelta, offset: prev.offset + offsetDelta, reason: storedReasons[code]}
	if _, err := io.ReadFull(reader, e.digestPrefix[:]); err != nil {
		return entry{}, errors.Wrap(errMalformedHistory, "read digest prefix of entry")
	}
	return e, nil
}
