package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// RequestDigest returns the identity of a request: the same for each repeat by its caller, at any daemon. parts are the IDs
// of all parts of its prompt, as far as its header names them. The address of the caller and the ID of the attempt
// differ between repeats and are no part of it.
func RequestDigest(method, uri, account string, parts []uint64, body []byte) uint64 {
	hash := xxhash.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(method), []byte(uri), []byte(account), body} {
		// The lengths keep the boundaries of the fields. A hash never fails to write.
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], part)
		_, _ = hash.Write(length[:])
	}
	return hash.Sum64()
}
