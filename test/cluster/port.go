package cluster

import (
	"fmt"
	"os"
	"sync/atomic"
)

// The port range lies below the kernel's ephemeral ports, which outgoing connections use.
const (
	firstPort = 12_000
	portCount = 20_000
)

// loopbackHost is a loopback address that only this test process uses. Test packages run in
// parallel, and on a shared address another one could take a port that is free for a moment,
// such as that of a cut link.
var loopbackHost = loopbackHostOf(os.Getpid())

// loopbackHostOf maps a process id, which the kernel keeps below 2^22, to an address of
// 127.64.0.0/10.
func loopbackHostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

var nextPort atomic.Uint32

// UniqueAddress returns a loopback address that neither outgoing connections nor other test
// processes use. Addresses repeat only after 20,000 calls. It does not probe the address: a child
// process forked meanwhile would inherit the listener and keep the port in use.
func UniqueAddress() string {
	return fmt.Sprintf("%s:%d", loopbackHost, firstPort+nextPort.Add(1)%portCount)
}
