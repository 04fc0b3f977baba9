package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConnectionLimit(t *testing.T) {
	assert.Equal(t, 0, ConnectionLimit(0, 65, 0), "no limit")
	assert.Equal(t, 272, ConnectionLimit(640, 2, 300), "the equal share is always there")
	// yushan-rounds-grown: 500 connections, 65 daemons. Equal shares of 6 sent a daemon with
	// much traffic to 22 servers in turn for one request.
	assert.Equal(t, 106, ConnectionLimit(500, 65, 0))
	assert.Equal(t, 6, ConnectionLimit(500, 65, 400))
	// The size to come.
	assert.Equal(t, 1, ConnectionLimit(640, 390, 544))
	assert.Equal(t, 133, ConnectionLimit(640, 390, 12))
}
