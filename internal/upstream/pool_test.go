package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConnectionLimit(t *testing.T) {
	assert.Equal(t, 0, ConnectionLimit(0, 65, 0), "no limit")
	assert.Equal(t, 272, ConnectionLimit(640, 2, 300), "the equal share is always granted")
	// With 500 connections and 65 daemons, equal shares of 6 connections made a daemon with
	// high traffic try 22 servers for a single request.
	assert.Equal(t, 106, ConnectionLimit(500, 65, 0))
	assert.Equal(t, 6, ConnectionLimit(500, 65, 400))
	// The planned size of the fleet is 390 daemons.
	assert.Equal(t, 1, ConnectionLimit(640, 390, 544))
	assert.Equal(t, 133, ConnectionLimit(640, 390, 12))
}
