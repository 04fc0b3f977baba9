package exchange

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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
	assert.Equal(t, 16, other, "one each 100 ms")
	a.send(now.Add(31*minSendInterval), true)
	assert.Equal(t, 1, received(t, sockets[1]), "urgent")
	assert.Equal(t, 220*time.Millisecond, placementAges[0], "a lost datagram to another zone is made up for")
	assert.Equal(t, 110*time.Millisecond, placementAges[1])
}

// In a large fleet the delegate of a zone tells its members each second. What others say of them is the same, and would be
// most of what daemons read: 38 lists of 195 members a second.
func TestOnlyDelegateRepeatsMembers(t *testing.T) {
	for id, wantLists := range map[string]int{"a": 8, "c": 1} {
		n := newNode(t, id, "z1")
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		n.AddAddress(conn.LocalAddr().String(), "z1")
		now := time.Now()
		other := &pb.Member{Id: "b", Zone: "z1", ControlAddress: "127.0.0.1:9"}
		summary := &pb.Zone{Zone: "z2", Delegate: &pb.Member{Id: "z2-0", Zone: "z2", ControlAddress: "127.0.1.0:9"}, View: &pb.View{}}
		for i := range 20 {
			summary.Members = append(summary.Members, &pb.Member{Id: fmt.Sprint("z2-", i), Zone: "z2", ControlAddress: fmt.Sprintf("127.0.1.%d:9", i)})
		}
		for tick := range 21 { // 8 s
			at := now.Add(time.Duration(tick) * 400 * time.Millisecond)
			n.handleState(&pb.State{Member: other, Incarnation: 1, Sequence: uint64(tick + 1), View: &pb.View{}}, at)
			summary.Sequence = uint64(tick + 1)
			n.handleZone(summary, true, at)
			n.send(at, false)
		}
		lists, buffer := 0, make([]byte, 64<<10)
		for {
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			size, _, err := conn.ReadFrom(buffer)
			if err != nil {
				break
			}
			d := &pb.Datagram{}
			require.NoError(t, proto.Unmarshal(buffer[:size], d))
			if len(d.GetState().GetMembers()) > 0 {
				lists++
			}
		}
		assert.InDelta(t, wantLists, lists, 1, "daemon %s", id)
		require.NoError(t, conn.Close())
		require.NoError(t, n.conn.Close())
		require.NoError(t, n.listener.Close())
	}
}
