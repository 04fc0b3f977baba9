package gateway

import (
	"context"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// suspectStore is a QuarantineStore in memory.
type suspectStore struct {
	mu     sync.Mutex
	values map[string][]byte
}

// SaveSuspect implements QuarantineStore.
func (s *suspectStore) SaveSuspect(_ context.Context, suspect string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		delete(s.values, suspect)
	} else {
		s.values[suspect] = value
	}
	return nil
}

// SavedSuspects implements QuarantineStore.
func (s *suspectStore) SavedSuspects(context.Context) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values), nil
}

// Guards against a suspect that is not saved, as the daemon that becomes the one that writes had once read it from the store. The
// former one has removed it since.
func TestSuspectIsSavedThoughItWasReadFromTheStoreBefore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	control := listener.Addr().String()
	require.NoError(t, listener.Close())
	store := &suspectStore{values: map[string][]byte{}}
	g, err := New(Settings{ID: "b", Zone: "z1", ControlAddress: control, FairWindow: 4 * time.Second}, Platform{
		Registry: emptyRegistry{}, Quarantine: store,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = g.exchange.Run(ctx) })
	defer running.Wait()
	defer cancel()
	tellOfWriter := func(sequence uint64) {
		data, err := proto.Marshal(&pb.Datagram{State: &pb.State{
			Member: &pb.Member{Id: "a", Zone: "z1", ControlAddress: "127.0.0.1:1"}, View: &pb.View{}, Incarnation: 1, Sequence: sequence,
		}})
		require.NoError(t, err)
		conn, err := net.Dial("udp", control)
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write(data)
		require.NoError(t, err)
	}
	for sequence := uint64(1); len(g.exchange.Members()) == 0; sequence++ {
		tellOfWriter(sequence)
		time.Sleep(20 * time.Millisecond)
	}
	require.False(t, g.writesStore())

	// The writer has saved a suspect, which this daemon reads at its start, and removes it when it expires.
	subject := quarantine.Subject{Kind: quarantine.PromptPart, ID: 7}
	suspected := func(firstServer uint64) quarantine.Report {
		report := quarantine.Report{Subject: subject}
		for i := range uint64(3) {
			report.Ends = append(report.Ends, quarantine.ReportedEnd{Server: firstServer + i, Begun: true})
		}
		return report
	}
	const left = 300 * time.Millisecond // until it expires
	value, err := proto.Marshal(&pb.StoredSuspect{
		Suspect: exchange.EncodeSuspect(suspected(1)), SavedUnixMs: time.Now().Add(left - 10*time.Minute).UnixMilli(),
	})
	require.NoError(t, err)
	key := suspectKey(subject)
	require.NoError(t, store.SaveSuspect(ctx, key, value))
	k := &quarantineKeeper{store: store}
	require.NoError(t, g.keepQuarantine(ctx, k))
	require.Len(t, g.scheduler.Quarantined(time.Now()), 1)
	time.Sleep(2 * left)
	require.Empty(t, g.scheduler.Quarantined(time.Now()))
	require.NoError(t, store.SaveSuspect(ctx, key, nil))
	require.NoError(t, g.keepQuarantine(ctx, k))

	// The part ends servers again. The writer ends before it has saved that.
	g.scheduler.MergeQuarantine([]quarantine.Report{suspected(11)}, time.Now())
	require.Len(t, g.scheduler.Quarantined(time.Now()), 1)
	require.Eventually(t, g.writesStore, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, g.keepQuarantine(ctx, k))
	saved, err := store.SavedSuspects(ctx)
	require.NoError(t, err)
	assert.Contains(t, saved, key, "all daemons may end now")
}
