package exchange

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// received returns the number of datagrams that are waiting at the socket.
func received(t *testing.T, conn net.PacketConn) int {
	t.Helper()
	buffer := make([]byte, 64<<10)
	for n := 0; ; n++ {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		if _, _, err := conn.ReadFrom(buffer); err != nil {
			return n
		}
	}
}

// Daemons of a full mesh send their states to other zones less often than to their own, but changes that can't wait to all.
func TestStatesToOtherZonesAreSentLessOften(t *testing.T) {
	a := newNode(t, "a", "z1")
	t.Cleanup(func() {
		require.NoError(t, a.conn.Close())
		require.NoError(t, a.listener.Close())
	})
	var sockets []net.PacketConn
	for _, zone := range []string{"z1", "z2", ""} {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, conn.Close()) })
		a.AddAddress(conn.LocalAddr().String(), zone)
		sockets = append(sockets, conn)
	}
	var placementAges []time.Duration
	a.options.View = func(placementAge time.Duration) *pb.View {
		placementAges = append(placementAges, placementAge)
		return &pb.View{}
	}
	now := time.Now()
	for tick := range 31 { // 1.5 s
		a.send(now.Add(time.Duration(tick)*minSendInterval), false)
	}
	own, other, unknown := received(t, sockets[0]), received(t, sockets[1]), received(t, sockets[2])
	assert.Equal(t, 31, own)
	assert.Equal(t, 31, unknown, "the zone of a daemon that is not known yet may be the own one")
	assert.Equal(t, 11, other, "one each 150 ms")
	a.send(now.Add(31*minSendInterval), true)
	assert.Equal(t, 1, received(t, sockets[1]), "urgent")
	assert.Equal(t, 330*time.Millisecond, placementAges[0], "a lost datagram to another zone is made up for")
	assert.Equal(t, 110*time.Millisecond, placementAges[1])
}
