package exchange

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

func TestReceiversOfOriginsAreNotSentStates(t *testing.T) {
	x, err := New(Options{ControlAddress: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	x.SendOrigins(&pb.Origins{}, "127.0.0.1:9")
	assert.Equal(t, 1, x.FleetSize())
	assert.Empty(t, x.addresses)
}
