package topology

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// configStore is a store with one record of the configuration. The value "1" can be decoded.
type configStore struct {
	recoveringStore
	mu    sync.Mutex
	value string
}

func (s *configStore) set(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

// Newest implements Store.
func (s *configStore) Newest(context.Context, Topic) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []Record{{Key: "config", Value: []byte(s.value)}}, 1, nil
}

// Read implements Store. A daemon lists the newest records anew each time.
func (s *configStore) Read(context.Context, Topic, int64, time.Duration) ([]Record, int64, error) {
	time.Sleep(time.Millisecond)
	return nil, 0, ErrTruncated
}

// DecodeConfig implements Store.
func (s *configStore) DecodeConfig(r Record) (*routing.Config, error) {
	if string(r.Value) != "1" {
		return nil, errors.New("value was cut")
	}
	return &routing.Config{Version: 1}, nil
}

// Guards against a daemon that answers for good that a route or a key does not exist, by a configuration that has been replaced by
// one that it can't read.
func TestConfigurationLooksOldWhileItsSuccessorCannotBeRead(t *testing.T) {
	store := &configStore{value: "1"}
	reader := NewReader(ReaderOptions{
		Store: store, State: NewState(func() {}), ReadsStore: func() bool { return true }, ReaderCount: func() int { return 1 },
		StateInterval: func() time.Duration { return usualStateInterval }, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { reader.follow(ctx, Configs) })
	defer running.Wait()
	defer cancel()
	age := func() time.Duration { return reader.Age(Configs, time.Now()) }
	require.Eventually(t, func() bool { return age() < 100*time.Millisecond }, 5*time.Second, time.Millisecond)
	store.set("cut!")
	time.Sleep(time.Second)
	assert.Greater(t, age(), 800*time.Millisecond, "the configuration in the store was not read for so long")
	store.set("1")
	require.Eventually(t, func() bool { return age() < 100*time.Millisecond }, 5*time.Second, time.Millisecond)
}
