package attempt

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// simulateReads lets the watchdog see a read each interval, until it cancels the connection or the time is over. onRead is
// called after each read. It returns the cause of the cancellation, nil for none.
func simulateReads(t *testing.T, w *watchdog, interval, total time.Duration, onRead func()) error {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer w.watch(cancel)()
	for end := time.Now().Add(total); time.Now().Before(end); {
		require.NoError(t, w.BeforeRead())
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(interval):
		}
		w.AfterRead()
		onRead()
	}
	return nil
}

func newWatchdog(idleLimit time.Duration) *watchdog {
	return &watchdog{idleLimit: idleLimit, flush: func() error { return nil }}
}

// A stalled engine that sends a byte now and then is given up.
func TestBytesWithoutEventsAreNoProgress(t *testing.T) {
	started := time.Now()
	cause := simulateReads(t, newWatchdog(100*time.Millisecond), 20*time.Millisecond, 5*time.Second, func() {})
	assert.ErrorIs(t, cause, errSilent)
	assert.Less(t, time.Since(started), 2*time.Second)
}

// A stream whose events come within the idle limit is not cut, however long it lasts.
func TestSlowEventsAreProgress(t *testing.T) {
	w := newWatchdog(400 * time.Millisecond)
	assert.NoError(t, simulateReads(t, w, 100*time.Millisecond, 2*time.Second, w.recordEvent))
}

// The time in which the caller takes no data is not the engine's.
func TestSlowCallerIsNoStall(t *testing.T) {
	w := newWatchdog(100 * time.Millisecond)
	onRead := func() { // the first flush has nothing to send
		w.flush = func() error {
			time.Sleep(200 * time.Millisecond)
			return nil
		}
	}
	assert.NoError(t, simulateReads(t, w, 10*time.Millisecond, time.Second, onRead))
}
