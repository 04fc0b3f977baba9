package cluster

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort and ports are a range below the kernel's ports for outgoing connections.
const (
	firstPort = 12_000
	portCount = 20_000
)

// host is a loopback address of this test process alone. Packages are tested side by side, and
// a port that is free for a moment, as that of a cut link, would be taken by another of them.
var loopbackHost = loopbackHostOf(os.Getpid())

// hostOf maps process ids below 2^22, the kernel's bound, onto 127.64.0.0/10.
func loopbackHostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

var nextPort atomic.Uint32

// LastingAddress returns an address of the loopback interface that neither outgoing connections
// nor other processes take, a new one at each of 20,000 calls. It does not try it out: a child
// process that is just being started would hold on to the listener, and keep the port taken.
func UniqueAddress() string {
	return fmt.Sprintf("%s:%d", loopbackHost, firstPort+nextPort.Add(1)%portCount)
}
