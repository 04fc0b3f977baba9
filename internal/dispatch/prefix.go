package dispatch

import "slices"

// Sizes of the prefix memory.
const (
	prefixMemorySize = 4096
	// PrefixWindow is how many requests of an account may pass its first one, so as to
	// run where their prompt prefix is cached.
	PrefixWindow = 4
)

// prefixMemory knows on which server each prompt prefix ran last. It prefers among the
// requests of one account and among free servers, so it takes nothing from another account.
type prefixMemory struct {
	servers map[uint64]string
	order   []uint64 // oldest first
}

func newPrefixMemory() prefixMemory { return prefixMemory{servers: map[uint64]string{}} }

func (p *prefixMemory) ran(prefix []uint64, server string) {
	for _, hash := range prefix {
		if _, ok := p.servers[hash]; !ok {
			p.order = append(p.order, hash)
		}
		p.servers[hash] = server
	}
	for len(p.order) > prefixMemorySize {
		delete(p.servers, p.order[0])
		p.order = p.order[1:]
	}
}

// server returns where the longest known part of the prefix ran last, or the empty string.
func (p *prefixMemory) server(prefix []uint64) string {
	for _, hash := range slices.Backward(prefix) {
		if server, ok := p.servers[hash]; ok {
			return server
		}
	}
	return ""
}

// choose returns the place of the request to start on the server: one whose prefix is
// there, within the window, or the first.
func (p *prefixMemory) choose(a *accountQueue, server string) int {
	if a.overtaken < PrefixWindow {
		for i := range min(PrefixWindow, len(a.waiting)) {
			if p.server(a.waiting[i].Prefix) != server {
				continue
			}
			if i > 0 {
				a.overtaken++
				return i
			}
			break
		}
	}
	a.overtaken = 0
	return 0
}
