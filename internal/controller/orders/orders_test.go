package orders

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/order"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/test/standin/logstore"
)

const patience = 30 * time.Second

func TestMain(m *testing.M) {
	// go-zero starts these with the program.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

// alone is a view that holds one daemon.
type alone string

func (a alone) Live(time.Time) []*pb.Member { return []*pb.Member{{Id: string(a), Zone: "z"}} }
func (alone) Ready(time.Time) bool          { return true }

// bed is a log, and a server that takes any order and knows from which address it came.
type bed struct {
	log *httptest.Server

	mu       sync.Mutex
	arrivals []string
	engines  map[string]*httptest.Server
}

func newBed(t *testing.T) *bed {
	b := &bed{log: httptest.NewServer(logstore.New(logstore.Options{})), engines: map[string]*httptest.Server{}}
	t.Cleanup(func() {
		b.log.Close()
		for _, e := range b.engines {
			e.Close()
		}
	})
	for _, sender := range []string{"a", "b"} {
		b.engines[sender] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.arrivals = append(b.arrivals, sender)
			w.WriteHeader(http.StatusOK)
		}))
	}
	return b
}

func (b *bed) arrived() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.arrivals, "")
}

// start runs a sender of the server "e".
func (b *bed) start(t *testing.T, id string, step func(string)) *Controller {
	log, err := logservice.NewHTTPLog(b.log.URL, 2*time.Second)
	require.NoError(t, err)
	c := NewController(Options{
		Self: order.Sender{ID: id, Incarnation: 1}, Log: log, Members: alone(id),
		RetryInterval: 20 * time.Millisecond, Logger: logging.For(logging.Orders), OnStep: step,
	})
	address := strings.TrimPrefix(b.engines[id].URL, "http://")
	c.SetOrders([]DesiredOrder{{Order: order.Order{Server: "e", Address: address, Kind: order.Load, Model: "m", Fence: 3}}}, time.Now())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(t.Context()) })
	t.Cleanup(wg.Wait)
	return c
}

func (c *Controller) allSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.orders {
		if !s.settled {
			return false
		}
	}
	return true
}

// The first sender stops before a step for longer than its permission lasts, and goes on
// after the second has sent. The server ignores fences.
func TestFrozenSenderNeverOverlapsTheNext(t *testing.T) {
	steps := []string{"read", "decide", "append claim", "send", "sent", "append done"}
	for _, step := range steps {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			b := newBed(t)
			stopped, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			a := b.start(t, "a", func(name string) {
				if name == step {
					once.Do(func() {
						close(stopped)
						<-release
					})
				}
			})
			<-stopped
			early := b.arrived()
			next := b.start(t, "b", nil)
			require.Eventually(t, next.allSettled, patience, 20*time.Millisecond)
			close(release)
			require.Eventually(t, a.allSettled, patience, 20*time.Millisecond)
			require.Equal(t, early+"b", b.arrived(), "nothing of the first sender after the second")
		})
	}
}

// Another daemon that takes over finds in the log that the order is done.
func TestOrderOnceDoneIsNotSentAgain(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	require.Eventually(t, b.start(t, "a", nil).allSettled, patience, 20*time.Millisecond)
	require.Eventually(t, b.start(t, "b", nil).allSettled, patience, 20*time.Millisecond)
	require.Equal(t, "a", b.arrived())
}

// The check of the permission is next to the write, behind everything that may pause.
func TestLapsedPermissionSendsNothing(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	address := strings.TrimPrefix(b.engines["a"].URL, "http://")
	err := backend.SendOrder(t.Context(), address, backend.Order{Fence: 1, Order: "load"}, time.Now())
	require.ErrorIs(t, err, backend.ErrOrderLapsed)
	require.Empty(t, b.arrived())
}
