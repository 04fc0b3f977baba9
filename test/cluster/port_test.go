package cluster

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLoopbackHostIsUniquePerProcess uses process ids close to each other, as test processes that run in
// parallel have them.
func TestLoopbackHostIsUniquePerProcess(t *testing.T) {
	first := netip.MustParseAddr("127.64.0.0").As4()
	base := binary.BigEndian.Uint32(first[:])
	for pid := 1; pid < 1<<22; pid += 89 {
		got := netip.MustParseAddr(loopbackHostOf(pid)).As4()
		require.Equal(t, base+uint32(pid), binary.BigEndian.Uint32(got[:]))
	}
}

func TestUniqueAddressIsFreeAndNew(t *testing.T) {
	first, second := UniqueAddress(), UniqueAddress()
	require.NotEqual(t, first, second)
	for _, address := range []string{first, second} {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

// TestLinksRestartWhileChildProcessesStart guards against a failed restart of a link whose address is
// in use: a child process keeps the listeners of its parent open from fork to exec.
func TestLinksRestartWhileChildProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var children sync.WaitGroup
	for range 8 {
		children.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					assert.NoError(t, exec.Command("true").Run())
				}
			}
		})
	}
	defer children.Wait()
	defer close(stop)
	for range 300 {
		link, err := NewLink("beside-children")
		require.NoError(t, err)
		link.Cut()
		require.NoError(t, link.Heal())
		link.Close()
	}
}
