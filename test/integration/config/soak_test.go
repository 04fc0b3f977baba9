//go:build soak

package config

import "testing"

// soakSteps is the number of steps of the soak test.
const soakSteps = 200

// TestSoakRandomFailures is TestRandomFailures with more steps.
func TestSoakRandomFailures(t *testing.T) { testRandomFailures(t, soakSteps) }
