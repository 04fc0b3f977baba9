package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Guards against other zones that forget an account because its daemon has been too busy to report for a while.
func TestSummaryHoldsUsageOfSilentDaemon(t *testing.T) {
	n := newNode(t, "a", "z1")
	t.Cleanup(func() {
		require.NoError(t, n.conn.Close())
		require.NoError(t, n.listener.Close())
	})
	now := time.Now()
	n.handleState(&pb.State{
		Member: &pb.Member{Id: "b", Zone: "z1", ControlAddress: "127.0.0.1:1"}, Incarnation: 1, Sequence: 1,
		View: &pb.View{Accounts: []*pb.AccountUse{{Account: 9, Asked: 70, Unmet: 255}}, Servers: []*pb.ServerLoad{{Server: 5, Running: 3}}, Daemons: 1, ConfigVersion: 3},
	}, now)
	summary := func(at time.Time) *pb.View {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lastExpire = at // it was not stalled itself
		n.expire(at)
		_, own := n.summaries(n.member, &pb.View{Daemons: 1, ConfigVersion: 2, ConfigAgeMs: 20}, false, at)
		return own.View
	}
	live := summary(now.Add(time.Second))
	assert.EqualValues(t, 2, live.Daemons)
	assert.EqualValues(t, 3, live.ConfigVersion)

	silent := summary(now.Add(3900 * time.Millisecond))
	require.Len(t, silent.Accounts, 1)
	assert.EqualValues(t, 70, silent.Accounts[0].Asked)
	assert.EqualValues(t, 255, silent.Accounts[0].Unmet)
	assert.Empty(t, silent.Servers)
	assert.EqualValues(t, 1, silent.Daemons)
	assert.EqualValues(t, 2, silent.ConfigVersion)
	assert.EqualValues(t, 20, silent.ConfigAgeMs)

	assert.Empty(t, summary(now.Add(4100*time.Millisecond)).Accounts)
}
