package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/backend"
	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixedMembers []*pb.Member

func (m fixedMembers) Live(time.Time) []*pb.Member { return m }

func (m fixedMembers) Address(id string) string { return id }

type discardSender struct{}

func (discardSender) Send(string, *pb.Envelope) {}

func liveMember(id, zone string) *pb.Member {
	return &pb.Member{Id: id, Zone: zone, State: pb.MemberState_MEMBER_STATE_LIVE, PeerAddress: id}
}

func newServer(id, zone string, slots int, state ticket.ServerState) ticket.Server {
	return ticket.Server{ID: id, Service: "drafter", Address: "127.0.0.1:1", Zone: zone, Slots: slots, State: state}
}

func newConfig(t *testing.T, servers ...ticket.Server) *ticket.Config {
	t.Helper()
	change := ticket.Ticket{Number: 1, Author: "test", Reason: "test", Servers: servers}
	change.Accounts = []ticket.Account{{
		ID: "a", Weight: 1, KeyHashes: []string{}, MaxQueued: 9, MaxQueuedBytes: 9, Presence: ticket.PresenceActive,
	}}
	change.Services = []ticket.Service{{
		ID: "drafter", Kind: ticket.ServiceModel, Deadline: ticket.DefaultDeadline, IdleLimit: ticket.DefaultIdleLimit,
		CutOff: ticket.CutOffRefuse, Scope: ticket.ScopeZone, Presence: ticket.PresenceActive,
	}}
	data, err := json.Marshal(change)
	require.NoError(t, err)
	state := ticket.NewState()
	verdict := state.Apply(0, fmt.Appendf(nil, `{"kind":"ticket","ticket":%s}`, data))
	require.Equal(t, ticket.OutcomeApplied, verdict.Outcome, verdict.Detail)
	return state.Config()
}

// startController runs a controller as the only member of the fleet.
func startController(t *testing.T, config *ticket.Config) *Controller {
	t.Helper()
	c := NewController(Options{
		SelfID:  "d1",
		Zone:    "z1",
		Members: fixedMembers{liveMember("d1", "z1")},
		Sender:  discardSender{},
		Logger:  slog.New(slog.DiscardHandler),
	})
	c.SetConfig(config)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

var draftRequest = Request{Service: "drafter", Account: "a", Hint: core.CostHint{Default: 10}}

func TestAcquireAndRelease(t *testing.T) {
	c := startController(t, newConfig(t, newServer("s1", "z1", 1, ticket.ServerJoined), newServer("s2", "z2", 1, ticket.ServerJoined)))
	for range 3 {
		first, err := c.Acquire(t.Context(), draftRequest)
		require.NoError(t, err)
		second, err := c.Acquire(t.Context(), draftRequest)
		require.NoError(t, err)
		require.NotEqual(t, first.Server.ID, second.Server.ID, "the second request gets the slot of the other zone")
		first.SetCost(5)
		first.Release(10)
		second.Release(10)
	}
	require.Eventually(t, c.Idle, 10*time.Second, time.Millisecond)
}

func TestAcquireFailsWhenContextEnds(t *testing.T) {
	c := startController(t, newConfig(t, newServer("s1", "z1", 1, ticket.ServerJoined)))
	lease, err := c.Acquire(t.Context(), draftRequest)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Acquire(ctx, draftRequest)
	require.Equal(t, result.DeadlineUnmeetable, result.CodeOf(err))
	require.GreaterOrEqual(t, result.From(err).RetryAfter, minRetryAfter)
	lease.Release(10)
}

func TestAcquireFailsWithoutJoinedServer(t *testing.T) {
	c := startController(t, newConfig(t, newServer("s1", "z1", 1, ticket.ServerLeaving)))
	_, err := c.Acquire(t.Context(), draftRequest)
	require.Equal(t, result.NoServerJoined, result.CodeOf(err))
}

func TestServerWithoutLoadReportIsUsed(t *testing.T) {
	c := startController(t, newConfig(t, newServer("s1", "z1", 2, ticket.ServerJoined)))
	first, err := c.Acquire(t.Context(), draftRequest)
	require.NoError(t, err)
	target := loadTarget{poolKey{"drafter", "z1"}, newServer("s1", "z1", 2, ticket.ServerJoined)}
	for range 3 {
		c.setLoad(target, 0, backend.ErrLoadNotReported)
	}
	second, err := c.Acquire(t.Context(), draftRequest)
	require.NoError(t, err)
	first.Release(10)
	second.Release(10)
}

func TestPoolWithoutMembersIsOwnedByAnotherZone(t *testing.T) {
	top := topology{scope: ScopeZone, self: "d1", zone: "z1", live: []*pb.Member{liveMember("d1", "z1")}}
	config := newConfig(t, newServer("s1", "z2", 1, ticket.ServerJoined))
	require.Equal(t, []string{"z1", "z2"}, top.pools(config, "drafter"))
	require.Equal(t, "d1", top.owner(poolKey{"drafter", "z2"}).Id)
}

func TestDaemonSlotSharesSumToServerSlots(t *testing.T) {
	for slots := range 12 {
		for n := 1; n < 8; n++ {
			var live []*pb.Member
			for i := range n {
				live = append(live, liveMember(fmt.Sprintf("d%d", i), "z1"))
			}
			sum := 0
			for _, m := range live {
				sum += topology{scope: ScopeDaemon, self: m.Id, live: live}.slotShare(ticket.Server{ID: "s1", Slots: slots})
			}
			require.Equal(t, slots, sum)
		}
	}
}

func TestFullReportIntervalScalesWithRuns(t *testing.T) {
	for _, c := range []struct {
		runs int
		want time.Duration
	}{{0, fullReportInterval}, {10, fullReportInterval}, {200, 2 * time.Second}, {5000, maxFullReportInterval}} {
		controller := NewController(Options{SelfID: "d1"})
		controller.config = newConfig(t, newServer("s1", "z1", 1, ticket.ServerJoined))
		q := controller.queue("drafter").queue
		var grants []core.Grant
		for n := range c.runs {
			q.Enqueue(core.Request{ID: core.RequestID(n), Account: "a"})
			grants = append(grants, core.Grant{ID: core.GrantID{DispatcherIncarnation: 1, Seq: uint64(n + 1)}, Account: "a", Server: "s1"})
		}
		now := time.Now()
		q.FullReport(now)
		q.HandleBatch(now, core.GrantBatch{DispatcherIncarnation: 1, ReportSeq: 1, Grants: grants})
		require.Equal(t, c.want, controller.queueFullReportInterval(), "%d runs", c.runs)
	}
}
