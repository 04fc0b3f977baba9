package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// newOriginPair returns a daemon and a peer that alone knows where the stream began. The peer is silent until the time, and then
// receives what was sent to it.
func newOriginPair(stream string, silentUntil time.Time) *streamOrigins {
	var asking, peer *streamOrigins
	start := func(self, other string, to func() *streamOrigins) *streamOrigins {
		o := newStreamOrigins(originOptions{
			members:  func() []*pb.Member { return []*pb.Member{{Id: other, ControlAddress: other}} },
			listAsOf: func(now time.Time) time.Time { return now },
			send: func(m *pb.Origins, _ ...string) {
				m.From = self
				time.AfterFunc(time.Until(silentUntil), func() { to().handle(m) })
			},
			logger: slog.New(slog.DiscardHandler),
		})
		servers := []routing.Server{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}}
		o.setServers(servers, nil, time.Now())
		return o
	}
	asking = start("d0", "d1", func() *streamOrigins { return peer })
	peer = start("d1", "d0", func() *streamOrigins { return asking })
	peer.table.RecordOwn(placement.Hash(stream), origin.Key{Service: "s", Version: "v2"}, time.Now())
	return asking
}

func TestStreamIsNotRefusedWhilePeerIsSilentForSecond(t *testing.T) {
	asking := newOriginPair("attempt", time.Now().Add(900*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, version, basis := asking.Find(ctx, takeUp("attempt"))
	assert.Equal(t, forward.OriginAnswered, basis)
	assert.Equal(t, "v2", version)
}

func TestLateAnswerOfSilentPeerIsKeptForNextRequest(t *testing.T) {
	silentUntil := time.Now().Add(600 * time.Millisecond)
	asking := newOriginPair("attempt", silentUntil)
	var callers sync.WaitGroup
	callers.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, _, basis := asking.Find(ctx, takeUp("attempt"))
		assert.Equal(t, forward.OriginUnknown, basis)
	})
	callers.Wait()
	asking.options.members = func() []*pb.Member { return nil }
	time.Sleep(time.Until(silentUntil) + 50*time.Millisecond)
	_, version, basis := asking.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginRecorded, basis)
	assert.Equal(t, "v2", version)
}
