package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// yushan-rounds scale-2, DRAIN: the store turned the first daemons of two zones away, and
// the only one left to read lost a call.
func TestDaemonsThatTheStoreTurnsAwayAreReplaced(t *testing.T) {
	a1, a2 := &pb.Member{Id: "a1", Zone: "a"}, &pb.Member{Id: "a2", Zone: "a"}
	b1 := &pb.Member{Id: "b1", Zone: "b"}
	assert.True(t, readsStore(a1, []*pb.Member{a2, b1}))
	assert.False(t, readsStore(a2, []*pb.Member{a1, b1}))
	a1.StoreLost = true
	assert.True(t, readsStore(a2, []*pb.Member{a1, b1}))
	assert.True(t, readsStore(a1, []*pb.Member{a2, b1}), "it tries on, to learn when it is answered")
	assert.True(t, readsStore(&pb.Member{Id: "b2", Zone: "b"}, []*pb.Member{b1}), "one zone has two readers")
}
