package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a server whose listener and connections end with it, as those of a killed process do.
type Process struct {
	Address  string
	listener net.Listener

	mu    sync.Mutex
	ended bool
	conns map[net.Conn]struct{}
}

// StartProcess starts a server that passes each request to serve, which returns whether the connection serves another one. The address may be
// that of a server that has ended; empty for any.
func StartProcess(t testing.TB, address string, serve func(conn *net.TCPConn, r *http.Request) (keep bool)) *Process {
	t.Helper()
	p := listen(t, address)
	go p.accept(serve)
	return p
}

func listen(t testing.TB, address string) *Process {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	for start := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(start) < 5*time.Second; { // until the listener of before is closed
		time.Sleep(time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{Address: listener.Addr().String(), listener: listener, conns: map[net.Conn]struct{}{}}
	t.Cleanup(p.Kill)
	return p
}

func (p *Process) accept(serve func(conn *net.TCPConn, r *http.Request) bool) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.add(conn) {
			go p.serve(conn.(*net.TCPConn), serve)
		}
	}
}

// add returns false, and closes the connection, if the process has ended.
func (p *Process) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *Process) serve(conn *net.TCPConn, serve func(conn *net.TCPConn, r *http.Request) bool) {
	defer func() {
		_ = conn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
	}()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil || p.hasEnded() || !serve(conn, r) {
			return
		}
	}
}

// hasEnded reports whether Kill was called. A killed process answers nothing, also while the kernel closes its connections one by one.
func (p *Process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Connections returns the number of open connections.
func (p *Process) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Kill ends the process.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for conn := range p.conns {
		_ = conn.Close()
	}
	_ = p.listener.Close()
}
