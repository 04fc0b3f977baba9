package cluster

import (
	"io"
	"net"
	"sync/atomic"
)

// forwarder is a TCP proxy whose upstream address may change at any time. A Link needs it
// because the upstream of a running toxiproxy.Proxy must not change.
type forwarder struct {
	listener net.Listener
	upstream atomic.Pointer[string]
}

func newForwarder() (*forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener}
	go f.acceptLoop()
	return f, nil
}

func (f *forwarder) acceptLoop() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.relay(conn)
	}
}

// relay copies data in both directions until either end closes.
func (f *forwarder) relay(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	address := f.upstream.Load()
	if address == nil {
		return
	}
	upstream, err := net.Dial("tcp", *address)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
		go func() {
			_, _ = io.Copy(ends[0], ends[1])
			done <- struct{}{}
		}()
	}
	<-done
}

func (f *forwarder) close() { _ = f.listener.Close() }
