package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Daemons that don't know of each other's retries stay within the limit of the fleet.
func TestIndependentWindowsKeepFleetBound(t *testing.T) {
	const daemons, requests = 7, 2000
	options := WindowOptions{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	retries := 0
	for range daemons {
		w := NewWindow(options)
		for range requests / daemons {
			w.RecordRequest(now)
			for w.Take(now, daemons) {
				retries++
			}
		}
	}
	assert.LessOrEqual(t, float64(retries), options.Ratio*requests+options.Slack)
	assert.Positive(t, retries)
}

func TestWindowSlides(t *testing.T) {
	w := NewWindow(WindowOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for w.Take(now, 1) {
	}
	assert.False(t, w.Take(now.Add(5*time.Second), 1))
	assert.True(t, w.Take(now.Add(11*time.Second), 1))
}
