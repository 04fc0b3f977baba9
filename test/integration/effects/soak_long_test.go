//go:build soak

package effects

import (
	"fmt"
	"testing"
	"time"
)

// TestSoakStamps runs the soak for a minute with each of several seeds.
func TestSoakStamps(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, 100+seed, time.Minute) })
	}
}
