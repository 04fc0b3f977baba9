package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Members and FleetSize are cached, and must follow each datagram and each failure.
func TestMembersFollowStatesAndFailures(t *testing.T) {
	a := newNode(t, "a", "z1")
	t.Cleanup(func() {
		require.NoError(t, a.conn.Close())
		require.NoError(t, a.listener.Close())
	})
	now := time.Now()
	state := func(sequence uint64, m *pb.Member) *pb.State {
		return &pb.State{Member: m, Incarnation: 1, Sequence: sequence, View: &pb.View{}}
	}
	b := &pb.Member{Id: "b", Zone: "z1", ControlAddress: "127.0.0.1:1"}
	assert.Empty(t, a.Members())
	assert.Equal(t, 1, a.FleetSize())

	a.handleState(state(1, b), now)
	assert.Equal(t, []*pb.Member{b}, a.Members())
	assert.Equal(t, 2, a.FleetSize())

	draining := proto.Clone(b).(*pb.Member)
	draining.Draining = true
	a.handleState(state(2, draining), now)
	assert.Equal(t, []*pb.Member{draining}, a.Members(), "the peer has changed")

	c, d := &pb.Member{Id: "c", Zone: "z2", ControlAddress: "127.0.0.1:2"}, &pb.Member{Id: "d", Zone: "z2", ControlAddress: "127.0.0.1:3"}
	summary := func(sequence uint64, members ...*pb.Member) *pb.Zone {
		return &pb.Zone{Zone: "z2", Delegate: c, Incarnation: 1, Sequence: sequence, Members: members, View: &pb.View{}}
	}
	a.handleZone(summary(1, c), true, now)
	assert.Equal(t, []*pb.Member{draining, c}, a.Members())
	assert.Equal(t, 3, a.FleetSize())
	a.handleZone(summary(2, c, d), true, now)
	assert.Equal(t, []*pb.Member{draining, c, d}, a.Members(), "a daemon has joined its zone")
	assert.Equal(t, 4, a.FleetSize())

	a.mu.Lock()
	a.expire(now)
	a.lastExpire = now.Add(10*time.Second - time.Millisecond)
	a.expire(now.Add(10 * time.Second))
	a.mu.Unlock()
	assert.Empty(t, a.Members(), "peer and zone have failed")
	assert.Equal(t, 4, a.FleetSize(), "failed daemons count until they expire, also those that were known by their zone only")

	a.mu.Lock()
	a.lastExpire = now.Add(2*expiryTimeout - time.Millisecond)
	a.expire(now.Add(2 * expiryTimeout))
	a.mu.Unlock()
	assert.Equal(t, 3, a.FleetSize(), "b has said that it would leave, c and d may be cut off")

	a.mu.Lock()
	a.lastExpire = now.Add(2*lostTimeout - time.Millisecond)
	a.expire(now.Add(2 * lostTimeout))
	a.mu.Unlock()
	assert.Equal(t, 1, a.FleetSize())
}

func TestSameMemberComparesAllFields(t *testing.T) {
	fields := (&pb.Member{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field, changed := fields.Get(i), &pb.Member{}
		switch field.Kind() {
		case protoreflect.StringKind:
			changed.ProtoReflect().Set(field, protoreflect.ValueOfString("x"))
		case protoreflect.BoolKind:
			changed.ProtoReflect().Set(field, protoreflect.ValueOfBool(true))
		case protoreflect.FloatKind:
			changed.ProtoReflect().Set(field, protoreflect.ValueOfFloat32(1))
		default:
			require.Failf(t, "unexpected kind of field", "%v", field)
		}
		assert.False(t, sameMember(changed, &pb.Member{}), "%v", field.Name())
	}
	assert.True(t, sameMember(&pb.Member{Id: "a"}, &pb.Member{Id: "a"}))
}
