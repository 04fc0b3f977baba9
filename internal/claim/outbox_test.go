package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// Guards against batches that the log doesn't take or that can't be read from it, because many answers end while it is unavailable.
func TestBatchesOfLongAnswersFitIntoTheLog(t *testing.T) {
	const records = 1000
	o := outbox{}
	for range records {
		o.add(Record{Kind: KindOutcome, Outcome: &Outcome{
			Status: 200, Header: []HeaderField{{"Name", string(make([]byte, 64<<10))}}, Body: make([]byte, 16<<10),
		}})
	}
	opts := Options{Daemon: "d"}
	opts.applyDefaults()
	now, sent := time.UnixMilli(1), 0
	for o.size() > 0 {
		now = now.Add(time.Second)
		batch, ok := o.nextBatch(now, &opts)
		require.True(t, ok)
		require.NotEmpty(t, batch.Records)
		data, err := Encode(batch)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(data), logservice.MaxValueBytes)
		sent += len(o.complete().Records)
	}
	assert.Equal(t, records, sent)
}
