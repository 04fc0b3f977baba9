package cluster

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Test processes that run side by side have ids close to each other.
func TestTestProcessesShareNoAddress(t *testing.T) {
	seen := map[string]int{}
	for pid := range 1 << 22 {
		host := hostOf(pid)
		other, taken := seen[host]
		require.False(t, taken, "processes %d and %d", pid, other)
		seen[host] = pid
	}
	for _, pid := range []int{1, 255, 256, 65_536, 1<<22 - 1} {
		require.True(t, net.ParseIP(hostOf(pid)).IsLoopback())
	}
}

func TestLastingAddressIsFreeAndNew(t *testing.T) {
	first, second := LastingAddress(), LastingAddress()
	require.NotEqual(t, first, second)
	for _, address := range []string{first, second} {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}
