package main

import (
	"net"
	"sync"
)

// proxy forwards TCP connections to a target. Silence makes those that are open forward nothing any more, without closing them; new
// ones work.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	links        map[*link]bool
}

type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	fromClient     int
}

func newProxy(target string) *proxy {
	l := listen()
	p := &proxy{addr: l.Addr().String(), target: target, links: make(map[*link]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	k := &link{client: client, server: server}
	p.mu.Lock()
	p.links[k] = true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); k.copy(server, client, true) }()
	go func() { defer done.Done(); k.copy(client, server, false) }()
	done.Wait()
	p.mu.Lock()
	delete(p.links, k)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// copy forwards one direction, and its end. What arrives on a silent link is lost.
func (k *link) copy(to, from net.Conn, fromClient bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		silent := k.silent
		if fromClient {
			k.fromClient += n
		}
		k.mu.Unlock()
		if !silent && n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if !silent {
				to.(*net.TCPConn).CloseWrite()
			}
			if silent && fromClient { // the client has given the connection up
				to.Close()
			}
			return
		}
	}
}

// silence makes all open links silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
	}
	return len(p.links)
}

func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}
