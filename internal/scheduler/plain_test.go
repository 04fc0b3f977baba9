package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
)

func TestPlainRequestsAreNotRefusedForGoodAfterSlowAnswers(t *testing.T) {
	s := New(Options{
		ID: "d", Zone: "z", FairWindow: 4 * time.Second, RetryBudget: retry.WindowOptions{Window: time.Second, Ratio: 0.1},
		Daemons: func() int { return 1 },
	})
	s.SetServers([]routing.Server{{ID: "p", Service: "plain", Zone: "z", Slots: 8}}, nil)
	r := Request{Request: placement.Request{Service: "plain"}, Account: "a", Objective: 200 * time.Millisecond}
	now := time.Unix(1000, 0)
	send := func(n int, took time.Duration) (admitted int) {
		for range n {
			r.Deadline = now.Add(4 * time.Second)
			d := s.Decide(r, now)
			require.True(t, d.Found)
			if d.Verdict.Reason != admission.Admitted {
				now = now.Add(took)
				continue
			}
			admitted++
			a := s.Start(r, d.Choice, now)
			now = now.Add(took)
			s.RecordFirstEvent(a, now)
			s.End(a, placement.Served, now)
		}
		return admitted
	}
	assert.Equal(t, 50, send(50, 40*time.Millisecond))
	send(50, 1200*time.Millisecond)
	assert.Equal(t, 50, send(50, 40*time.Millisecond))
}
