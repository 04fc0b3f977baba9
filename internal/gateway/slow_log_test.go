package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/topology"
)

// slowLog is a store whose log takes longer to read than the versions may take to load.
type slowLog struct {
	topology.Store
	reads atomic.Int64
}

func (s *slowLog) Read(ctx context.Context, _ topology.Topic, from int64, _ time.Duration) ([]topology.Record, int64, error) {
	s.reads.Add(1)
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(60 * time.Millisecond):
	}
	if from >= maxLogReads/2 {
		return nil, from, nil
	}
	return []topology.Record{{Key: "a"}}, from + 1, nil
}

// Guards against a daemon that reads the log again and again because it never ends in time.
func TestSlowLogIsNotReadForGood(t *testing.T) {
	store := &lateStore{saved: map[origin.Key]bool{}}
	g := newKeepingGateway(t, store, newKeeperRegistry())
	log := &slowLog{}
	g.platform.Store = log
	synctest.Test(t, func(t *testing.T) {
		stop := g.keep(t)
		g.follow(time.Minute, func() {}, "v1")
		assert.LessOrEqual(t, log.reads.Load(), int64(4*maxLogReads))
		assert.Empty(t, g.origins.Excluded("s"), "streams may begin")
		assert.True(t, store.has(origin.Key{Service: "s", Version: "v1"}), "versions are saved")
		stop()
		synctest.Wait()
	})
}
