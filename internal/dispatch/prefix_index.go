package dispatch

import (
	"slices"
	"time"
)

// Sizes of the prefix memory.
const (
	maxPrefixes = 4096
	// PrefixWindow is how many requests of an account may pass its first one, so as to
	// run where their prompt prefix is cached.
	PrefixReorderWindow = 4
	// prefixMargin is how much longer another daemon's first request of the account may have
	// waited than one whose prefix is cached on the free server.
	cachedPrefixMargin = time.Second
)

// prefixServers is how many servers the memory keeps for a prefix.
const maxServersPerPrefix = 3

// prefixMemory knows on which servers each prompt prefix ran lately. It prefers among the
// requests of one account and among free servers, so it takes nothing from another account.
type prefixIndex struct {
	servers       map[uint64][]string // the latest first
	evictionOrder []uint64            // oldest first
}

func newPrefixIndex() prefixIndex { return prefixIndex{servers: map[uint64][]string{}} }

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

// holders returns where the longest known part of the prefix ran lately.
func (p *prefixIndex) cachedOn(prefixHashes []uint64) []string {
	for _, hash := range slices.Backward(prefixHashes) {
		if servers, ok := p.servers[hash]; ok {
			return slices.Clone(servers)
		}
	}
	return nil
}

// choose returns the place of the request to start on the server: one whose prefix is
// there, within the window, or the first.
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
