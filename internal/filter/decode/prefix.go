package decode

import "github.com/cespare/xxhash/v2"

// prefixLengths are the leading bytes of the messages that are hashed, shortest first.
// Requests that share one of them share that much of an engine's prefix cache.
var prefixLengths = []int{256, 1 << 10, 4 << 10, 16 << 10}

// prefixHashes returns the hashes of the leading parts that the messages are long enough for.
func prefixHashes(messages []byte) []uint64 {
	var hashes []uint64
	for _, n := range prefixLengths {
		if n <= len(messages) {
			hashes = append(hashes, xxhash.Sum64(messages[:n]))
		}
	}
	return hashes
}
