package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// Guards against streams that are cut behind their last event, as their servers fall silent before the end and another one has no event to
// go on with.
func TestStreamIsNotCutWhenItsServersAreSilentBeforeItsEnd(t *testing.T) {
	all := streamAnswer(events(1, lastEvent))
	empty := streamAnswer()
	s := &pausingServers{steps: [][]any{
		{all[0], all[1], 1200 * time.Millisecond, all[2]},
		{800 * time.Millisecond, empty[0], empty[1]},
	}}
	_, body, complete, _ := s.ask(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxTokenGap: 50 * time.Millisecond})
	assert.Equal(t, events(1, lastEvent), body)
	assert.True(t, complete)
}
