//go:build soak

package config

import "testing"

// soakSteps is the number of steps of the long session.
const soakSteps = 200

// TestSoakRolledFailures is TestRolledFailures for longer.
func TestSoakRandomFailures(t *testing.T) { testRandomFailures(t, soakSteps) }
