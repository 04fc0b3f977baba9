package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFairnessGapCountsOnlyJointBacklog(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	outcome := func(account string, sent, start, tokens int) *Outcome {
		o := &Outcome{Account: account, SentAt: at(sent), PromptTokens: 10}
		for i := range tokens {
			o.TokenTimes = append(o.TokenTimes, at(start+i))
		}
		o.EndedAt = at(start + tokens)
		return o
	}
	weights := map[string]float64{"a": 1, "b": 1}
	outcomes := []*Outcome{
		outcome("a", 0, 1, 5),   // not counted, b is not backlogged
		outcome("b", 10, 30, 1), // b waits from 10 to 30
		outcome("a", 10, 12, 5), // service of 10+2*5 for a while both wait
		outcome("a", 10, 40, 1),
	}
	require.InDelta(t, 20, FairnessGap(outcomes, weights, CountAtStart, at(0), at(100)), 1e-9)
	require.InDelta(t, 20, FairnessGap(outcomes, weights, CountOnDelivery, at(0), at(100)), 1e-9)
	require.Zero(t, FairnessGap(outcomes, weights, CountAtStart, at(50), at(100)))
	// a leads by 20/2 at time 12. The start of b at time 30 adds 12 and ends the interval.
	require.InDelta(t, 12, FairnessGap(outcomes, map[string]float64{"a": 2, "b": 1}, CountAtStart, at(0), at(100)), 1e-9)
}
