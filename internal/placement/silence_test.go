package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fallSilent sends requests to the chosen server for 0.5 s, and ends its silence 1.2 s after it began. It returns that time and the
// attempts in flight.
func fallSilent(b *Balancer, r Request, c Choice, begin time.Time) (end time.Time, attempts []*Attempt) {
	for i := range 10 {
		attempts = append(attempts, b.Start(r, c, begin.Add(time.Duration(i)*50*time.Millisecond)))
	}
	return begin.Add(1200 * time.Millisecond), attempts
}

func TestRequestsThatWaitedThroughSilenceLeavePredictionsAsTheyWere(t *testing.T) {
	plain := Request{Service: "llm"}
	for name, r := range map[string]Request{"engine": prompt(7, 1), "plain": plain} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(1)
			now := serve(b, r, 200, 70*time.Millisecond, epoch)
			before, _ := b.Choose(r, nil, now)
			end, attempts := fallSilent(b, r, before, now)
			for _, a := range attempts {
				b.RecordFirstEvent(a, end)
			}
			for _, a := range attempts {
				b.End(a, Served, end)
			}
			after, _ := b.Choose(r, nil, end)
			t.Logf("predicted before %v, after %v", before.Predicted, after.Predicted)
			assert.Less(t, after.Predicted, before.Predicted*3/2)
		})
	}
}

func TestFailuresForSilenceAreForgottenWhenServerAnswers(t *testing.T) {
	b := newBalancer(2)
	r := prompt(7, 1)
	home, _ := b.Choose(r, nil, epoch)
	end, attempts := fallSilent(b, r, home, epoch)
	for _, a := range attempts[:8] {
		b.End(a, Failed, a.SentAt().Add(600*time.Millisecond))
	}
	b.End(attempts[8], Abandoned, end)
	silent, _ := b.Choose(r, nil, end)
	require.NotEqual(t, home.Server.ID, silent.Server.ID, "while the server is silent")
	b.RecordFirstEvent(attempts[9], end)
	b.End(attempts[9], Served, end)
	answering, _ := b.Choose(r, nil, end)
	assert.Equal(t, home.Server.ID, answering.Server.ID)
}

func TestFailuresOfBrokenConnectionsAreNotForgottenWhenServerAnswers(t *testing.T) {
	b := newBalancer(2)
	r := prompt(7, 1)
	home, _ := b.Choose(r, nil, epoch)
	end, attempts := fallSilent(b, r, home, epoch)
	for _, a := range attempts[:8] {
		a.SetBroken()
		b.End(a, Failed, a.SentAt().Add(600*time.Millisecond))
	}
	b.RecordFirstEvent(attempts[9], end)
	got, _ := b.Choose(r, nil, end)
	assert.NotEqual(t, home.Server.ID, got.Server.ID)
}

// Two requests at a time get their answers together.
func TestSlowServerIsNotTakenForSilentOne(t *testing.T) {
	for name, r := range map[string]Request{"engine": prompt(7, 1), "plain": {Service: "llm"}} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(1)
			now := serve(b, r, 200, 70*time.Millisecond, epoch)
			before, _ := b.Choose(r, nil, now)
			for range 30 {
				c, _ := b.Choose(r, nil, now)
				pair := []*Attempt{b.Start(r, c, now), b.Start(r, c, now)}
				now = now.Add(800 * time.Millisecond)
				for _, a := range pair {
					b.RecordFirstEvent(a, now)
				}
				for _, a := range pair {
					b.End(a, Served, now)
				}
			}
			after, _ := b.Choose(r, nil, now)
			t.Logf("predicted before %v, after %v", before.Predicted, after.Predicted)
			assert.Greater(t, after.Predicted, before.Predicted*3)
		})
	}
}

func TestServerIsAvoidedWhenRequestsHaveEndedAtTheirDeadlinesThere(t *testing.T) {
	b := newBalancer(2)
	r := prompt(7, 1)
	home, _ := b.Choose(r, nil, epoch)
	_, attempts := fallSilent(b, r, home, epoch)
	end := epoch.Add(4 * time.Second)
	for _, a := range attempts {
		b.End(a, Abandoned, end)
	}
	got, _ := b.Choose(r, nil, end)
	assert.NotEqual(t, home.Server.ID, got.Server.ID)
}

func TestServerIsNotAvoidedForCallersThatLeaveEarly(t *testing.T) {
	b := newBalancer(2)
	r := prompt(7, 1)
	home, _ := b.Choose(r, nil, epoch)
	_, attempts := fallSilent(b, r, home, epoch)
	for _, a := range attempts {
		b.End(a, Abandoned, a.SentAt().Add(200*time.Millisecond))
	}
	got, _ := b.Choose(r, nil, epoch.Add(time.Second))
	assert.Equal(t, home.Server.ID, got.Server.ID)
}
