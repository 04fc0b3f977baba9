package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
)

func TestWarmUpSource(t *testing.T) {
	self := &pb.Member{Id: "b", Zone: "z1"}
	member := func(id, zone string, warm bool) *pb.Member {
		return &pb.Member{Id: id, Zone: zone, KnowsPrompts: warm}
	}
	for name, c := range map[string]struct {
		peers   []*pb.Member
		peer    string
		engines bool
	}{
		"no peers":                             {engines: true},
		"lowest ID, no peer of the zone knows": {peers: []*pb.Member{member("c", "z1", false), member("a", "z2", false)}, engines: true},
		"a peer has a lower ID":                {peers: []*pb.Member{member("a", "z1", false)}},
		"a peer of the zone knows":             {peers: []*pb.Member{member("a", "z1", false), member("c", "z1", true)}, peer: "c"},
		"a peer of another zone knows":         {peers: []*pb.Member{member("a", "z2", true)}, engines: true},
	} {
		t.Run(name, func(t *testing.T) {
			peer, engines := warmUpSource(self, c.peers)
			assert.Equal(t, c.peer, peer.GetId())
			assert.Equal(t, c.engines, engines)
		})
	}
}

// A daemon whose seeds are all in other zones doesn't know its own zone at once. It must not query all engines as if it were
// the only one there.
func TestEnginesAreQueriedLaterWhileTheZoneIsUnknown(t *testing.T) {
	self := &pb.Member{Id: "b", Zone: "z1"}
	assert.Equal(t, engineQueryDelay, queryDelay(self, nil), "alone in the fleet, as far as it knows")
	assert.Equal(t, lonelyQueryDelay, queryDelay(self, []*pb.Member{{Id: "a", Zone: "z2"}}))
	assert.Equal(t, engineQueryDelay, queryDelay(self, []*pb.Member{{Id: "a", Zone: "z2"}, {Id: "c", Zone: "z1"}}))
}

func TestCachedPartsRoundTrip(t *testing.T) {
	parts := []placement.CachedPart{
		{Part: placement.Part{ID: 1 << 60, Tokens: 500}, Age: 1500 * time.Millisecond},
		{Part: placement.Part{ID: 2, Tokens: 7}},
	}
	message := encodeCachedParts(9, parts)
	assert.EqualValues(t, 9, message.Server)
	assert.Equal(t, parts, decodeCachedParts(message))
	message.Tokens = message.Tokens[:1]
	assert.Empty(t, decodeCachedParts(message))
}
