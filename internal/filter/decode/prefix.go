package decode

import "github.com/cespare/xxhash/v2"

// prefixLengths are the lengths in bytes of the hashed prefixes of the messages, shortest first.
// Requests with the same hash can share that part of an engine's prefix cache.
var prefixLengths = []int{256, 1 << 10, 4 << 10, 16 << 10}

// prefixHashes returns the hashes of the prefixes of the JSON-encoded messages. It skips prefixes
// that are longer than the messages.
func prefixHashes(messages []byte) []uint64 {
	var hashes []uint64
	for _, n := range prefixLengths {
		if n <= len(messages) {
			hashes = append(hashes, xxhash.Sum64(messages[:n]))
		}
	}
	return hashes
}
