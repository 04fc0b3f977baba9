package quarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDigestsOfDifferentRequestsDiffer(t *testing.T) {
	seen := map[uint64]bool{}
	for _, digest := range []uint64{
		RequestDigest("GET", "/a", "acme", []uint64{1}, []byte("body")),
		RequestDigest("POST", "/a", "acme", []uint64{1}, []byte("body")),
		RequestDigest("GET", "/ab", "acme", []uint64{1}, []byte("ody")),
		RequestDigest("GET", "/a", "beta", []uint64{1}, []byte("body")),
		RequestDigest("GET", "/a", "acme", []uint64{2}, []byte("body")),
		RequestDigest("GET", "/a", "acme", []uint64{1}, []byte("other")),
	} {
		assert.False(t, seen[digest])
		seen[digest] = true
	}
	assert.True(t, seen[RequestDigest("GET", "/a", "acme", []uint64{1}, []byte("body"))])
}

func BenchmarkRequestDigest(b *testing.B) {
	body := make([]byte, 1<<10)
	for b.Loop() {
		RequestDigest("POST", "/lookup/1f", "acme", []uint64{1, 2, 3}, body)
	}
}
