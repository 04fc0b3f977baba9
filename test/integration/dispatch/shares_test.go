package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/load"
)

func TestAccountSharesAreEqualAcrossDaemons(t *testing.T) {
	f, _ := startTwoZones(t, nil)
	small := startCallers(f, t, "small", 0, 6)
	large := startCallers(f, t, "large", 1, 40)
	small.waitForAnswers(t, 10)
	smallBefore, largeBefore := small.answered(), large.answered()
	small.waitForAnswers(t, 60)
	gotSmall := float64(small.answered() - smallBefore)
	gotLarge := float64(large.answered() - largeBefore)
	require.InDelta(t, 1, gotLarge/gotSmall, 0.35)
}

func TestFloodDoesNotStarveSmallAccount(t *testing.T) {
	f, _ := startTwoZones(t, nil)
	flood := startCallers(f, t, "large", 0, 300)
	flood.waitForAnswers(t, 20)
	small := startCallers(f, t, "small", 3, 1)
	small.waitForAnswers(t, 10)
	small.mu.Lock()
	defer small.mu.Unlock()
	require.Less(t, slices.Max(small.firstTokenWaits), 5*time.Second)
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	f, engines := startTwoZones(t, nil)
	c := startCallers(f, t, "small", 0, 8)
	c.waitForAnswers(t, 20)
	leaving := f.NextTicket.Servers[0]
	leaving.State = ticket.ServerLeaving
	f.NextTicket = ticket.Ticket{Number: f.NextTicket.Number, Author: "test", Reason: "leave", Servers: []ticket.Server{leaving}}
	f.SubmitNext()
	before := engineRuns(t, engines[0])
	c.waitForAnswers(t, 40)
	require.Equal(t, before, engineRuns(t, engines[0]))
	c.requireNoFailures(t)
}

// slowTokenInterval makes a call take 200 ms.
const slowTokenInterval = "10ms"

// startSingleSlotFleet starts a fleet with one slow slot, so that requests queue up.
func startSingleSlotFleet(t *testing.T, configure func(f *cluster.Fleet)) (*cluster.Fleet, *cluster.Process) {
	f := cluster.StartFleet(t, cluster.Options{Zones: []string{"z1"}, Daemons: 1})
	engine := f.AddEngine("z1", 1, "--token-interval", slowTokenInterval)
	configure(f)
	f.SubmitNext()
	return f, engine
}

// sendBurst sends n concurrent calls and returns their outcomes.
func sendBurst(f *cluster.Fleet, n int) []*load.Outcome {
	var wg sync.WaitGroup
	outcomes := make([]*load.Outcome, n)
	client := load.NewClient()
	for i := range n {
		wg.Go(func() { outcomes[i] = newCall(f, "small", 0).Do(context.Background(), client) })
	}
	wg.Wait()
	return outcomes
}

// countCode returns the number of outcomes with the result code; "" counts answers.
func countCode(outcomes []*load.Outcome, code string) int {
	n := 0
	for _, o := range outcomes {
		if o.Err == nil && o.ResultCode == code {
			n++
		}
	}
	return n
}

// anyRefusedEarly reports whether a call was refused with code 1103 within 1 s, long before
// the deadline of 3 s.
func anyRefusedEarly(outcomes []*load.Outcome) bool {
	return slices.ContainsFunc(outcomes, func(o *load.Outcome) bool {
		return o.Err == nil && o.ResultCode == "1103" && o.EndedAt.Sub(o.SentAt) < time.Second
	})
}

func TestRequestsOverQueueCapAreNotRun(t *testing.T) {
	f, engine := startSingleSlotFleet(t, func(f *cluster.Fleet) { f.NextTicket.Accounts[0].MaxQueued = 3 })
	outcomes := sendBurst(f, 20)
	require.Positive(t, countCode(outcomes, "1101"))
	require.Equal(t, 20, countCode(outcomes, "1101")+countCode(outcomes, ""))
	require.Equal(t, countCode(outcomes, ""), engineRuns(t, engine), "the engine ran exactly the answered requests")
}

func TestUnmeetableDeadlineIsRefusedOnArrival(t *testing.T) {
	f, engine := startSingleSlotFleet(t, func(f *cluster.Fleet) {
		f.NextTicket.Services[0].Deadline = ticket.Duration(3 * time.Second)
	})
	first := sendBurst(f, 30)
	require.Positive(t, countCode(first, "1103"))
	backlog := startCallers(f, t, "small", 0, 40)
	backlog.waitForAnswers(t, 5)
	require.Eventually(t, func() bool { return anyRefusedEarly(sendBurst(f, 20)) }, cluster.WaitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		status, header, _ := f.Call(0, "key-small", http.MethodPost, "/v1/chat/completions",
			`{"model":"drafter","max_tokens":20,"messages":[{"role":"user","content":"answer=20"}]}`)
		return status == http.StatusServiceUnavailable && header.Get("X-Result-Code") == "1103" &&
			header.Get("X-Outcome") == "not_run" && header.Get("Retry-After") != ""
	}, cluster.WaitTimeout, pollInterval)
	backlog.stop()
	answered := countCode(first, "") + backlog.answered()
	require.LessOrEqual(t, answered, engineRuns(t, engine))
}
