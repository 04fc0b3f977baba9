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

const patience = 20 * time.Second

// memoryLog is a log that keeps the newest records.
type memoryLog struct {
	mu     sync.Mutex
	values [][]byte
	first  int
	limit  int
	down   bool
}

var errDown = errors.New("down")

func (l *memoryLog) Append(_ context.Context, _ string, values [][]byte) ([]int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errDown
	}
	l.values = append(l.values, values...)
	if l.limit > 0 {
		l.first = max(l.first, len(l.values)-l.limit)
	}
	return []int64{int64(len(l.values) - 1)}, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, offset int64, limit int) ([]logservice.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errDown
	}
	if offset < int64(l.first) {
		return nil, logservice.ErrForgotten
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
	if l.down {
		return logservice.Bounds{}, errDown
	}
	return logservice.Bounds{First: int64(l.first), Next: int64(len(l.values))}, nil
}

// wires connect the controllers of a test. Messages arrive at once.
type wires struct {
	mu    sync.Mutex
	nodes map[string]*config.Controller
}

// end is one daemon's end of the wires, and its view of the members.
type end struct {
	id    string
	wires *wires
}

func (e *end) node(address string) *config.Controller {
	e.wires.mu.Lock()
	defer e.wires.mu.Unlock()
	return e.wires.nodes[address]
}

func (e *end) Send(address string, env *pb.Envelope) {
	to := e.node(address)
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

func (e *end) Ping(address string) {
	to, own := e.node(address), e.node(e.id)
	if to == nil || own == nil {
		return
	}
	sent := time.Now()
	pong := &pb.Pong{Member: address}
	to.FillPong(pong)
	own.HandlePong(sent, pong)
}

func (e *end) member(id string) *pb.Member {
	return &pb.Member{Id: id, PeerAddress: id, Zone: "z-" + id, State: pb.MemberState_MEMBER_STATE_LIVE, AppliedOffset: -1}
}

func (e *end) Self() *pb.Member { return e.member(e.id) }

func (e *end) Live(time.Time) []*pb.Member {
	e.wires.mu.Lock()
	defer e.wires.mu.Unlock()
	var live []*pb.Member
	for id := range e.wires.nodes {
		live = append(live, e.member(id))
	}
	return live
}

func (e *end) All() (all []member.Status) {
	for _, m := range e.Live(time.Time{}) {
		all = append(all, member.Status{Member: m, Heard: time.Now()})
	}
	return all
}

func (e *end) Listed() ([]string, bool) { return nil, false }

func (e *end) Address(id string) string { return id }

// run starts a daemon's controller.
func (w *wires) run(t *testing.T, id string, log logservice.Log) *config.Controller {
	e := &end{id: id, wires: w}
	c := config.NewController(config.Options{
		SelfID:               id,
		Members:              e,
		Sender:               e,
		Log:                  log,
		DelegatePollInterval: 10 * time.Millisecond,
		StateRecords:         configsync.StateRecordLimits{MaxInterval: time.Hour, MaxRecords: 1 << 40},
		Logger:               slog.New(slog.DiscardHandler),
	})
	w.mu.Lock()
	w.nodes[id] = c
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return c
}

func record(t *testing.T, number int) []byte {
	text := fmt.Sprintf(`{"number":%d,"author":"a","reason":"r","accounts":[{"id":"x","weight":%d,"keyHashes":[]}]}`, number, number)
	change, err := ticket.Parse("t", []byte(text))
	require.NoError(t, err)
	value, err := ticket.Encode(change)
	require.NoError(t, err)
	return value
}

func fill(t *testing.T, log *memoryLog, from, to int) {
	for number := from; number <= to; number++ {
		_, err := log.Append(t.Context(), "", [][]byte{record(t, number)})
		require.NoError(t, err)
	}
}

func requireWeight(t *testing.T, c *config.Controller, weight float64) {
	t.Helper()
	require.Eventually(t, func() bool {
		current := c.Current()
		return current != nil && len(current.Accounts()) == 1 && current.Accounts()[0].Weight == weight
	}, patience, 10*time.Millisecond)
}

func TestWholeStateFromAPeer(t *testing.T) {
	log, broken := &memoryLog{}, &memoryLog{down: true}
	w := &wires{nodes: map[string]*config.Controller{}}
	fill(t, log, 1, 700) // more than a daemon keeps for its peers
	a := w.run(t, "a", log)
	requireWeight(t, a, 700)
	b := w.run(t, "b", broken)
	requireWeight(t, b, 700)
	fill(t, log, 701, 702)
	requireWeight(t, b, 702)
	appliedA, digestA := a.Applied()
	appliedB, digestB := b.Applied()
	require.Equal(t, appliedA, appliedB)
	require.Equal(t, digestA, digestB)
	require.False(t, b.Freshness(time.Now()).CutOff)
}

func TestForgedOrOldStateIsNotTaken(t *testing.T) {
	log := &memoryLog{}
	w := &wires{nodes: map[string]*config.Controller{}}
	a := w.run(t, "a", log)
	fill(t, log, 1, 1)
	requireWeight(t, a, 1)
	old, offset, err := a.Snapshot()
	require.NoError(t, err)
	_, oldDigest := a.Applied()
	fill(t, log, 2, 2)
	requireWeight(t, a, 2)
	state, next, err := a.Snapshot()
	require.NoError(t, err)

	b := w.run(t, "b", &memoryLog{down: true})
	b.HandleReply("x", &pb.ConfigReply{AppliedOffset: next, Snapshot: state, Digest: oldDigest})
	b.HandleReply("x", &pb.ConfigReply{AppliedOffset: next, Snapshot: []byte("{"), Digest: oldDigest})
	requireWeight(t, b, 2)
	b.HandleReply("x", &pb.ConfigReply{AppliedOffset: offset, Snapshot: old, Digest: oldDigest})
	applied, _ := b.Applied()
	require.Equal(t, next, applied, "an older state changes nothing")
}

func TestStartFromAStateRecord(t *testing.T) {
	log := &memoryLog{limit: 20}
	w := &wires{nodes: map[string]*config.Controller{}}
	a := w.run(t, "a", log)
	for number := 1; number <= 60; number += 4 {
		fill(t, log, number, number+3)
		requireWeight(t, a, float64(number+3))
		require.Eventually(t, func() bool { return readable(log) }, patience, 10*time.Millisecond)
	}
	alone := &wires{nodes: map[string]*config.Controller{}}
	requireWeight(t, alone.run(t, "b", log), 60)
}

// readable reports whether a state record stands in the newer half of the log.
func readable(log *memoryLog) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	for i := max(log.first, len(log.values)-log.limit/2); i < len(log.values); i++ {
		if _, ok := ticket.StateRecord(log.values[i]); ok {
			return true
		}
	}
	return len(log.values) <= log.limit/4
}
