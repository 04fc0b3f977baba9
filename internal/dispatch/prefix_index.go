package dispatch

import (
	"slices"
	"time"
)

// Limits of the prefix index and of reordering by cached prefix.
const (
	maxPrefixes = 4096
	// PrefixReorderWindow is how many requests of an account may start before its first one,
	// in order to run where their prompt prefix is cached. Only this many requests at the
	// front of the queue are considered.
	PrefixReorderWindow = 4
	// cachedPrefixMargin is how much later than the account's oldest request a request whose
	// prefix is cached on the free server may have arrived to be chosen first.
	cachedPrefixMargin = time.Second
)

// maxServersPerPrefix is the number of most recent servers that are kept for a prefix.
const maxServersPerPrefix = 3

// prefixIndex records on which servers each prompt prefix ran recently. It only affects the
// choice among the requests of one account and among free servers, so it takes no capacity
// from other accounts.
type prefixIndex struct {
	servers       map[uint64][]string // by prefix hash, most recent first
	evictionOrder []uint64            // prefix hashes, oldest first
}

func newPrefixIndex() prefixIndex { return prefixIndex{servers: map[uint64][]string{}} }

// recordRun records that a request with these prefix hashes runs on the server.
func (p *prefixIndex) recordRun(prefixHashes []uint64, server string) {
	for _, hash := range prefixHashes {
		servers, ok := p.servers[hash]
		if !ok {
			p.evictionOrder = append(p.evictionOrder, hash)
		}
		servers = slices.DeleteFunc(servers, func(s string) bool { return s == server })
		servers = slices.Insert(servers, 0, server)
		p.servers[hash] = servers[:min(maxServersPerPrefix, len(servers))]
	}
	for len(p.evictionOrder) > maxPrefixes {
		delete(p.servers, p.evictionOrder[0])
		p.evictionOrder = p.evictionOrder[1:]
	}
}

// cachedOn returns the servers on which the longest known prefix ran recently, most recent
// first.
func (p *prefixIndex) cachedOn(prefixHashes []uint64) []string {
	for _, hash := range slices.Backward(prefixHashes) {
		if servers, ok := p.servers[hash]; ok {
			return slices.Clone(servers)
		}
	}
	return nil
}

// chooseRequest returns the index of the waiting request to start on the server: the first
// within PrefixReorderWindow whose prefix is cached there, or 0. Once the first request has
// been skipped PrefixReorderWindow times, it is 0.
func (p *prefixIndex) chooseRequest(a *accountQueue, server string) int {
	if a.headSkips < PrefixReorderWindow {
		for i := range min(PrefixReorderWindow, len(a.waiting)) {
			if !slices.Contains(p.cachedOn(a.waiting[i].PrefixHashes), server) {
				continue
			}
			if i > 0 {
				a.headSkips++
				return i
			}
			break
		}
	}
	a.headSkips = 0
	return 0
}
