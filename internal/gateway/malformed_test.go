package gateway

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/topology"
)

// fillRandomly sets the fields of the message to extreme, likely and random values.
func fillRandomly(m protoreflect.Message, depth int, random *rand.Rand) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case random.IntN(6) == 0 || (field.Kind() == protoreflect.MessageKind && depth == 0):
		case field.IsList():
			list := m.Mutable(field).List()
			for range random.IntN(4) {
				if field.Kind() == protoreflect.MessageKind {
					fillRandomly(list.AppendMutable().Message(), depth-1, random)
				} else {
					list.Append(randomValue(field.Kind(), random))
				}
			}
		case field.Kind() == protoreflect.MessageKind:
			fillRandomly(m.Mutable(field).Message(), depth-1, random)
		default:
			m.Set(field, randomValue(field.Kind(), random))
		}
	}
}

func randomValue(kind protoreflect.Kind, random *rand.Rand) protoreflect.Value {
	pick := []uint64{0, 1, 2, 7, 255, 1 << 20, math.MaxUint32, math.MaxInt64, math.MaxUint64, placement.Hash("s0"), random.Uint64()}[random.IntN(11)]
	number := []float64{0, 1, -1, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, 1e-300}[random.IntN(8)]
	switch kind {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(pick%2 == 1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString([]string{"", "s0", "s1", "z1", "127.0.0.1:1", "host.example:99999"}[random.IntN(6)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(nil)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(number)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(pick))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(pick))
	}
	return protoreflect.ValueOfUint64(pick)
}

func newOfflineGateway() *Gateway {
	m := topology.NewState(func() {})
	metrics, _, _ := telemetry.New(telemetry.Options{Interval: time.Hour})
	g := &Gateway{
		metrics:  metrics,
		platform: Platform{Registry: emptyRegistry{}},
		topology: m,
		reader:   topology.NewReader(topology.ReaderOptions{State: m, Logger: slog.New(slog.DiscardHandler)}),
		scheduler: scheduler.New(scheduler.Options{
			ID: "a", Zone: "z1", FairWindow: 4 * time.Second, Daemons: func() int { return 20 },
			RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		}),
		logger: slog.New(slog.DiscardHandler),
	}
	g.pullInProgress.Store(true) // there is no peer to pull from
	var servers []routing.Server
	for i := range 4 {
		s := routing.Server{ID: "s" + strconv.Itoa(i), Service: "llm", Zone: "z1", Slots: 8, Incarnation: 1}
		servers = append(servers, s)
		m.SetServer(s, nil, time.Now())
	}
	g.scheduler.SetServers(servers, nil)
	return g
}

// Whatever a peer says, of another version for instance, the daemon goes on to decide on requests.
func TestMalformedViewsDoNotEndTheProcess(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := newOfflineGateway()
		views := []*pb.View{g.viewMessage(time.Second)}
		for i := range 3 {
			v := &pb.View{}
			fillRandomly(v.ProtoReflect(), 4, random)
			data, err := proto.Marshal(v) // as it arrives
			require.NoError(t, err)
			v = &pb.View{}
			require.NoError(t, proto.Unmarshal(data, v))
			g.receiveView("p"+strconv.Itoa(i), &pb.Member{Id: "p"}, v, 0)
			views = append(views, v)
		}
		merged := exchange.MergeViews(views)
		g.receiveView(exchange.ZonePrefix+"z2", &pb.Member{Id: "q"}, merged, 0)
		now := time.Now()
		for i := range 4 {
			r := scheduler.Request{
				Request: placement.Request{
					Service: "llm", Engine: true, PromptTokens: 500, OutputTokens: 10,
					Parts: []placement.Part{{ID: uint64(i), Tokens: 100}, {ID: 99, Tokens: 400}},
				},
				Account: "account", Objective: 400 * time.Millisecond, Deadline: now.Add(3 * time.Second),
			}
			d := g.scheduler.Decide(r, now)
			assert.False(t, math.IsNaN(d.Input.Usage.Admitted), "seed %d", seed)
			if d.Found {
				a := g.scheduler.Start(r, d.Choice, now)
				g.scheduler.RecordFirstEvent(a, now.Add(50*time.Millisecond))
				g.scheduler.End(a, placement.Served, now.Add(60*time.Millisecond))
			}
		}
		_, err := proto.Marshal(g.viewMessage(time.Second))
		assert.NoError(t, err)
	}
}
