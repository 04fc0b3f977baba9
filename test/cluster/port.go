package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// firstPort and ports are a range below the kernel's ports for outgoing connections and
// beside that of the tests of platform. An outgoing connection would take the port of a link
// while the link is cut, and the link could not be mended.
const (
	firstPort = 12_000
	ports     = 8_000
)

// nextPort starts at a place of its own in each test process.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()) * 97) }

// lastingAddress returns a free address of the loopback interface that stays free of outgoing
// connections, or one of the kernel's choice when there is none.
func lastingAddress() string {
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken by another test
		}
		if l.Close() == nil {
			return address
		}
	}
	return "127.0.0.1:0"
}
