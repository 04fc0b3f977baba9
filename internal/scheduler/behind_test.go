package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// Guards against refusals of an account that is behind while another server than the one that has cached the prompt has room for it.
func TestAccountThatIsBehindMayUseServerWithRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	config, err := routing.Build(routing.Config{
		Limits:   routing.Limits{TokensPerSecond: 20_000},
		Services: []routing.Service{{Name: "llm", EngineSlots: 32, MemoryTokens: 1 << 20}},
	})
	require.NoError(t, err)
	cached := routing.Server{ID: "cached", Service: "llm", Address: "cached", Zone: "z", Slots: 32}
	other := routing.Server{ID: "other", Service: "llm", Address: "other", Zone: "z", Slots: 32}
	decide := func(account string) scheduler.Decision {
		s := scheduler.New(scheduler.Options{
			Zone: "z", FairWindow: 4 * time.Second, Daemons: func() int { return 2 }, Random: func() float64 { return 0.5 },
			RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		})
		s.SetServers([]routing.Server{cached, other}, config)
		s.AddCachedParts(placement.Hash(cached.ID), []placement.CachedPart{{Part: placement.Part{ID: 7, Tokens: 4000}}}, now)
		usage := func(admitted float64) admission.Usage {
			return admission.Usage{Demand: 9 * admitted, Admitted: admitted, Quarters: [4]float64{admitted / 4, admitted / 4, admitted / 4, admitted / 4}, UnmetBuckets: 0xff}
		}
		s.SetPeer("peer", scheduler.View{
			Loads: map[uint64]placement.Load{
				placement.Hash(cached.ID): {Running: 20, PendingTokens: 8000},
				placement.Hash(other.ID):  {Running: 4, PendingTokens: 1500},
			},
			Usage: map[uint64]admission.Usage{scheduler.AccountHash("behind"): usage(100_000), scheduler.AccountHash("best"): usage(140_000)},
		}, now)
		return s.Decide(scheduler.Request{
			Request: placement.Request{Service: "llm", Engine: true, PromptTokens: 4500, OutputTokens: 100, Parts: []placement.Part{{ID: 7, Tokens: 4000}, {ID: 8, Tokens: 500}}},
			Account: account, Objective: 500 * time.Millisecond, Deadline: now.Add(10 * time.Second),
		}, now)
	}
	behind := decide("behind")
	assert.Equal(t, admission.Admitted, behind.Verdict.Reason)
	assert.Equal(t, "other", behind.Choice.Server.ID)
	best := decide("best")
	assert.Equal(t, admission.OverShare, best.Verdict.Reason)
}
