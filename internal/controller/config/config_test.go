package config_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

const waitTimeout = 20 * time.Second

// memoryLog is an in-memory log that keeps the newest maxRecords records, or all if it is 0.
type memoryLog struct {
	mu          sync.Mutex
	values      [][]byte
	first       int
	maxRecords  int
	unavailable bool
}

var errUnavailable = errors.New("log is unavailable")

func (l *memoryLog) Append(_ context.Context, _ string, values [][]byte) ([]int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	l.values = append(l.values, values...)
	if l.maxRecords > 0 {
		l.first = max(l.first, len(l.values)-l.maxRecords)
	}
	return []int64{int64(len(l.values) - 1)}, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, offset int64, limit int) ([]logservice.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	if offset < int64(l.first) {
		return nil, logservice.ErrOffsetExpired
	}
	var out []logservice.Record
	for i := offset; i < int64(len(l.values)) && len(out) < limit; i++ {
		out = append(out, logservice.Record{Offset: i, Value: l.values[i]})
	}
	return out, nil
}

func (l *memoryLog) Bounds(context.Context, string) (logservice.Bounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return logservice.Bounds{}, errUnavailable
	}
	return logservice.Bounds{First: int64(l.first), Next: int64(len(l.values))}, nil
}

// network connects the controllers of a test. It delivers messages synchronously.
type network struct {
	mu          sync.Mutex
	controllers map[string]*config.Controller
}

// endpoint is the Sender and Members of one daemon on the network.
type endpoint struct {
	id      string
	network *network
}

func (e *endpoint) controller(address string) *config.Controller {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return e.network.controllers[address]
}

func (e *endpoint) Send(address string, env *pb.Envelope) {
	to := e.controller(address)
	if to == nil {
		return
	}
	switch body := env.Body.(type) {
	case *pb.Envelope_ConfigRecords:
		to.HandleRecords(e.id, body.ConfigRecords)
	case *pb.Envelope_ConfigRequest:
		to.HandleRequest(e.id, body.ConfigRequest)
	case *pb.Envelope_ConfigReply:
		to.HandleReply(e.id, body.ConfigReply)
	}
}

func (e *endpoint) Ping(address string) {
	to, own := e.controller(address), e.controller(e.id)
	if to == nil || own == nil {
		return
	}
	sentAt := time.Now()
	pong := &pb.Pong{Member: address}
	to.FillPong(pong)
	own.HandlePong(sentAt, pong)
}

func (e *endpoint) member(id string) *pb.Member {
	return &pb.Member{Id: id, PeerAddress: id, Zone: "z-" + id, State: pb.MemberState_MEMBER_STATE_LIVE, AppliedOffset: -1}
}

func (e *endpoint) Self() *pb.Member { return e.member(e.id) }

func (e *endpoint) Live(time.Time) []*pb.Member {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	var live []*pb.Member
	for id := range e.network.controllers {
		live = append(live, e.member(id))
	}
	return live
}

func (e *endpoint) All() (all []member.Status) {
	for _, m := range e.Live(time.Time{}) {
		all = append(all, member.Status{Member: m, LastSeen: time.Now()})
	}
	return all
}

func (e *endpoint) Listed() ([]string, time.Time) { return nil, time.Time{} }

func (e *endpoint) Address(id string) string { return id }

// startDaemon runs the controller of a daemon until the test ends.
func (n *network) startDaemon(t *testing.T, id string, log logservice.Log) *config.Controller {
	e := &endpoint{id: id, network: n}
	c := config.NewController(config.Options{
		SelfID:               id,
		Members:              e,
		Sender:               e,
		Log:                  log,
		DelegatePollInterval: 10 * time.Millisecond,
		StateRecords:         configsync.StateRecordLimits{MaxInterval: time.Hour, MaxRecords: 1 << 40},
		Logger:               slog.New(slog.DiscardHandler),
	})
	n.mu.Lock()
	n.controllers[id] = c
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return c
}

func ticketRecord(t *testing.T, number int) []byte {
	text := fmt.Sprintf(`{"number":%d,"author":"a","reason":"r","accounts":[{"id":"x","weight":%d,"keyHashes":[]}]}`, number, number)
	change, err := ticket.Parse("t", []byte(text))
	require.NoError(t, err)
	value, err := ticket.Encode(change)
	require.NoError(t, err)
	return value
}

func appendTickets(t *testing.T, log *memoryLog, from, to int) {
	for number := from; number <= to; number++ {
		_, err := log.Append(t.Context(), "", [][]byte{ticketRecord(t, number)})
		require.NoError(t, err)
	}
}

func requireWeight(t *testing.T, c *config.Controller, weight float64) {
	t.Helper()
	require.Eventually(t, func() bool {
		current := c.Current()
		return current != nil && len(current.Accounts()) == 1 && current.Accounts()[0].Weight == weight
	}, waitTimeout, 10*time.Millisecond)
}

func TestSnapshotFromPeerAfterCacheOverflow(t *testing.T) {
	log, unavailable := &memoryLog{}, &memoryLog{unavailable: true}
	n := &network{controllers: map[string]*config.Controller{}}
	appendTickets(t, log, 1, 700) // more than a daemon caches for its peers
	a := n.startDaemon(t, "a", log)
	requireWeight(t, a, 700)
	b := n.startDaemon(t, "b", unavailable)
	requireWeight(t, b, 700)
	appendTickets(t, log, 701, 702)
	requireWeight(t, b, 702)
	appliedA, digestA := a.Applied()
	appliedB, digestB := b.Applied()
	require.Equal(t, appliedA, appliedB)
	require.Equal(t, digestA, digestB)
	require.False(t, b.Freshness(time.Now()).CutOff)
}

func TestSnapshotWithWrongDigestOrOldOffsetIsIgnored(t *testing.T) {
	log := &memoryLog{}
	n := &network{controllers: map[string]*config.Controller{}}
	a := n.startDaemon(t, "a", log)
	appendTickets(t, log, 1, 1)
	requireWeight(t, a, 1)
	oldState, oldOffset, err := a.Snapshot()
	require.NoError(t, err)
	_, oldDigest := a.Applied()
	appendTickets(t, log, 2, 2)
	requireWeight(t, a, 2)
	state, offset, err := a.Snapshot()
	require.NoError(t, err)

	b := n.startDaemon(t, "b", &memoryLog{unavailable: true})
	b.HandleReply("x", &pb.ConfigReply{AppliedOffset: offset, Snapshot: state, Digest: oldDigest})
	b.HandleReply("x", &pb.ConfigReply{AppliedOffset: offset, Snapshot: []byte("{"), Digest: oldDigest})
	requireWeight(t, b, 2)
	b.HandleReply("x", &pb.ConfigReply{AppliedOffset: oldOffset, Snapshot: oldState, Digest: oldDigest})
	applied, _ := b.Applied()
	require.Equal(t, offset, applied, "an older state is ignored")
}

func TestStartFromAStateRecord(t *testing.T) {
	log := &memoryLog{maxRecords: 20}
	n := &network{controllers: map[string]*config.Controller{}}
	a := n.startDaemon(t, "a", log)
	for number := 1; number <= 60; number += 4 {
		appendTickets(t, log, number, number+3)
		requireWeight(t, a, float64(number+3))
		require.Eventually(t, func() bool { return stateRecordIsRecent(log) }, waitTimeout, 10*time.Millisecond)
	}
	isolated := &network{controllers: map[string]*config.Controller{}}
	requireWeight(t, isolated.startDaemon(t, "b", log), 60)
}

// partLog returns few records in a read, like a log with large ones.
type partLog struct{ *memoryLog }

func (l partLog) Read(ctx context.Context, topic string, offset int64, limit int) ([]logservice.Record, error) {
	const few = 3
	records, err := l.memoryLog.Read(ctx, topic, offset, limit)
	if err == nil && len(records) > few {
		return records[:few], logservice.ErrMoreRecords
	}
	return records, err
}

// Guards against a configuration that stays behind for good, because the log's records are too large for one read.
func TestLogWithLargeRecordsIsReadToItsEnd(t *testing.T) {
	for name, log := range map[string]*memoryLog{"whole": {}, "truncated": {maxRecords: 20}} {
		a := (&network{controllers: map[string]*config.Controller{}}).startDaemon(t, "a", log)
		for number := 1; number <= 60; number += 4 {
			appendTickets(t, log, number, number+3)
			requireWeight(t, a, float64(number+3))
			if log.maxRecords > 0 {
				require.Eventually(t, func() bool { return stateRecordIsRecent(log) }, waitTimeout, 10*time.Millisecond, name)
			}
		}
		requireWeight(t, (&network{controllers: map[string]*config.Controller{}}).startDaemon(t, "b", partLog{log}), 60)
	}
}

// stateRecordIsRecent reports whether there is a state record in the newer half of the log.
// While the log is at most a quarter full, none is needed.
func stateRecordIsRecent(log *memoryLog) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	for i := max(log.first, len(log.values)-log.maxRecords/2); i < len(log.values); i++ {
		if _, ok := ticket.DecodeStateRecord(log.values[i]); ok {
			return true
		}
	}
	return len(log.values) <= log.maxRecords/4
}
