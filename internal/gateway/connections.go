package gateway

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// connectionBytes is what a caller's connection with a request takes: buffers, two
	// goroutines, a body. make measure-slopes gave 77 KB with a stream.
	connectionBytes = 77 << 10
	// connectionMemory is the part of the process's memory for callers' connections.
	connectionMemory = 0.4
	// connectionDescriptors is the part of the descriptors for them; servers need the rest.
	connectionDescriptors = 0.5
	// crowdedShare is the part of the limit from which refusals close their connections:
	// callers that open a new one for each request would fill the rest with idle ones.
	crowdedShare = 0.25
	// backlogPerCore is the number of connections that may wait to be accepted, for each core
	// that the process may use: about what is accepted in half a second (BenchmarkRefusal: 0.1
	// to 0.2 ms, and the platform charges system calls). Those that wait for longer are of
	// callers that have left.
	backlogPerCore = 1200
	// minBacklog holds the callers that come back together when a daemon starts.
	minBacklog = 128
)

// connections counts and bounds the connections of callers. A daemon that accepts more than
// it can hold is ended for its memory, with all that it has under way.
type connections struct {
	open    atomic.Int64
	limit   int
	backlog int
	slots   *semaphore.Weighted
}

func newConnections(limit, backlog int) *connections {
	return &connections{limit: limit, backlog: backlog, slots: semaphore.NewWeighted(int64(limit))}
}

// backlog returns how many connections may wait to be accepted.
func backlog(cores float64) int { return max(minBacklog, int(backlogPerCore*cores)) }

// connectionLimit returns how many connections a process with the limits holds. 0 stands for
// a limit that is not known.
func connectionLimit(memoryBytes int64, descriptors int) int {
	limit := math.MaxInt32
	if memoryBytes > 0 {
		limit = int(connectionMemory * float64(memoryBytes) / connectionBytes)
	}
	if descriptors > 0 {
		limit = min(limit, int(connectionDescriptors*float64(descriptors)))
	}
	return max(limit, 1)
}

// listen binds the address for callers. Connections beyond the limit wait in the kernel's
// queue. Keep-alive probes are off: idle connections have a time-out, and setting the probes
// up costs four system calls a connection.
func (c *connections) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if err := c.bound(listener); err != nil {
		_ = listener.Close() // nothing was accepted
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &boundedListener{listener, c.slots, ctx, stop}, nil
}

// bound shortens the queue of the kernel, which Go takes from the machine's setting: a second
// listen on the same socket changes it.
func (c *connections) bound(listener net.Listener) error {
	sc, ok := listener.(syscall.Conn)
	if !ok {
		return errors.Newf("listener %T has no descriptor", listener)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "descriptor of the listener")
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), c.backlog) }); err != nil {
		return errors.Wrap(err, "shorten the queue of connections")
	}
	return errors.Wrap(listenErr, "shorten the queue of connections")
}

// boundedListener takes a slot for each connection; track gives it back. The LimitListener of
// golang.org/x/net hides the connection's descriptor, which forward.WithCaller needs.
type boundedListener struct {
	net.Listener
	slots *semaphore.Weighted
	ctx   context.Context
	stop  context.CancelFunc
}

// Accept waits for a slot and then for a connection. Work that is ready goes first: a daemon
// that gets too little processor time finishes what it has accepted, and lets the rest wait.
func (l *boundedListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	if err := l.slots.Acquire(l.ctx, 1); err != nil {
		return nil, errors.Wrap(net.ErrClosed, "accept")
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
	}
	return conn, err
}

// Close ends the waiting, too.
func (l *boundedListener) Close() error {
	l.stop()
	return l.Listener.Close()
}

// track fits http.Server.ConnState of the server with the listener.
func (c *connections) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
		c.slots.Release(1)
	case http.StateActive, http.StateIdle:
	}
}

// crowded reports whether idle connections should be given up.
func (c *connections) crowded() bool {
	return float64(c.open.Load()) > crowdedShare*float64(c.limit)
}
