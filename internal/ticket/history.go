package ticket

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// HistoryLimit is the count of ticket numbers that a state remembers.
//
// A repeat is recognised while its number is kept. At 1,100 tickets a day the
// limit covers 18 days, far longer than any sender retries. Numbers leave in
// ascending order, and every number at or below the highest one that left is
// rejected from then on. So a ticket older than the history can never take
// effect twice: the price is only that its repeat reads "forgotten" instead of
// the first verdict. An entry takes about 24 bytes in a snapshot, which keeps
// the whole history below one megabyte.
const HistoryLimit = 20_000

// digestSize is the kept part of a ticket's SHA-256 in bytes.
const digestPrefixSize = 16

var errMalformedHistory = errors.New("history is malformed")

// outcomes lists the verdicts that a history keeps; the index is the stored code.
var storedReasons = []Reason{ReasonNone, ReasonStale, ReasonUnknownService, ReasonKeyInUse}

// entry is what is kept of the first record of a ticket number.
type entry struct {
	number       uint64
	offset       int64
	reason       Reason // ReasonNone when the ticket was applied
	digestPrefix [digestPrefixSize]byte
}

// history holds the entries of the highest numbers, in ascending order.
type history struct {
	limit    int
	lowWater uint64 // every number at or below is forgotten
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

// add keeps an entry and reports whether the low-water mark moved.
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

// encode packs the entries: number and offset as differences, the code, the digest.
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
			return history{}, errors.Wrap(errMalformedHistory, "numbers are out of order")
		}
		h.entries = append(h.entries, next)
		prev = next
	}
	if len(h.entries) > limit {
		return history{}, errors.Wrap(errMalformedHistory, "too many entries")
	}
	return h, nil
}

func decodeEntry(reader *bytes.Reader, prev entry) (entry, error) {
	numberDelta, err := binary.ReadUvarint(reader)
	if err != nil {
		return entry{}, errors.Wrap(errMalformedHistory, "number")
	}
	offsetDelta, err := binary.ReadVarint(reader)
	if err != nil {
		return entry{}, errors.Wrap(errMalformedHistory, "offset")
	}
	code, err := reader.ReadByte()
	if err != nil || int(code) >= len(storedReasons) {
		return entry{}, errors.Wrap(errMalformedHistory, "verdict")
	}
	e := entry{number: prev.number + numberDelta, offset: prev.offset + offsetDelta, reason: storedReasons[code]}
	if _, err := io.ReadFull(reader, e.digestPrefix[:]); err != nil {
		return entry{}, errors.Wrap(errMalformedHistory, "digest")
	}
	return e, nil
}
