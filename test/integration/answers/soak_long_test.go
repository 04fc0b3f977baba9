//go:build soak

package answers

import (
	"testing"
	"time"
)

// TestSoak runs the soak test with three seeds for one minute each.
func TestSoak(t *testing.T) {
	for seed := range uint64(3) {
		newSoakTest(t).run(seed+100, time.Minute, 60*time.Millisecond)
	}
}
