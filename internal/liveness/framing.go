package liveness

import "sync"

// maxFramings bounds the kinds that Framings knows. Beyond it all count as unknown again.
const maxFramings = 4096

// Framings knows which kinds of answers have neither a length nor chunks, so that proofs are begun for those only. The zero value knows none.
// Its methods are safe for concurrent use.
type Framings struct {
	mu    sync.Mutex
	kinds map[string]bool // whether an answer of the kind has ended with its connection
}

// MayEndWithConnection reports whether an answer of the kind may end with its connection: one has, or none is known.
func (f *Framings) MayEndWithConnection(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends, known := f.kinds[kind]
	return ends || !known
}

// Record records an answer of the kind.
func (f *Framings) Record(kind string, endsWithConnection bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kinds == nil || len(f.kinds) >= maxFramings {
		f.kinds = make(map[string]bool)
	}
	f.kinds[kind] = f.kinds[kind] || endsWithConnection
}
