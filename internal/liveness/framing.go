package liveness

import "sync"

// maxFramings bounds the servers that Framings knows. Beyond it all count as unknown again.
const maxFramings = 16384

// Framings knows which servers send answers with neither a length nor chunks, so that proofs are begun for those only. The zero value knows
// none. Its methods are safe for concurrent use.
type Framings struct {
	mu       sync.Mutex
	services map[string]bool // that have sent an answer which ends with its connection
	servers  map[string]bool // that have sent an answer
}

// MayEndWithConnection reports whether an answer of the server may end with its connection: one of its service has, or none of the server is
// known.
func (f *Framings) MayEndWithConnection(service, server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[service] || !f.servers[server]
}

// Record records an answer of the server.
func (f *Framings) Record(service, server string, endsWithConnection bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers == nil || len(f.servers) >= maxFramings || len(f.services) >= maxFramings {
		f.services, f.servers = make(map[string]bool), make(map[string]bool)
	}
	f.servers[server] = true
	if endsWithConnection {
		f.services[service] = true
	}
}
