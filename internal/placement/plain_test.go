package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// serve sends requests one after the other, each of which takes so long, and returns the time of the end of the last one.
func serve(b *Balancer, r Request, n int, took time.Duration, now time.Time) time.Time {
	for range n {
		c, _ := b.Choose(r, nil, now)
		a := b.Start(r, c, now)
		now = now.Add(took)
		b.RecordFirstEvent(a, now)
		b.End(a, Served, now)
	}
	return now
}

func TestTimeOfIdlePlainServerIsNoLoadDelay(t *testing.T) {
	b := newBalancer(1)
	r := Request{Service: "llm"}
	now := serve(b, r, 40, 40*time.Millisecond, epoch)
	now = serve(b, r, 40, 600*time.Millisecond, now)
	idle, _ := b.Choose(r, nil, now)
	assert.Greater(t, idle.Predicted, 400*time.Millisecond)
	assert.Equal(t, idle.Predicted, idle.PredictedIdle)
	b.Start(r, idle, now)
	busy, _ := b.Choose(r, nil, now)
	assert.Greater(t, busy.Predicted-busy.PredictedIdle, 200*time.Millisecond)
}

func TestOverloadedDaemonLearnsThatPlainServersAreFastAgain(t *testing.T) {
	b := newBalancer(1)
	r := Request{Service: "llm"}
	now := serve(b, r, 40, 40*time.Millisecond, epoch)
	now = serve(b, r, 40, 600*time.Millisecond, now)
	b.SetOverloaded(true)
	now = serve(b, r, 40, 40*time.Millisecond, now)
	fast, _ := b.Choose(r, nil, now)
	assert.Less(t, fast.Predicted, 100*time.Millisecond)
	now = serve(b, r, 40, 600*time.Millisecond, now)
	own, _ := b.Choose(r, nil, now)
	assert.Equal(t, fast.Predicted, own.Predicted, "the delay may be the daemon's own")
}
