package orders

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
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

const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	// go-zero starts these goroutines at package initialization.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

// singleMember is a member list with one daemon.
type singleMember string

func (m singleMember) Live(time.Time) []*pb.Member { return []*pb.Member{{Id: string(m), Zone: "z"}} }
func (singleMember) Ready(time.Time) bool          { return true }

// testEnv is a log and a server that accepts any order. Each sender reaches the server at an
// address of its own, which identifies the sender.
type testEnv struct {
	log *httptest.Server

	mu           sync.Mutex
	receivedFrom []string
	engines      map[string]*httptest.Server
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{log: httptest.NewServer(logstore.New(logstore.Options{})), engines: map[string]*httptest.Server{}}
	t.Cleanup(func() {
		env.log.Close()
		for _, e := range env.engines {
			e.Close()
		}
	})
	for _, sender := range []string{"a", "b"} {
		env.engines[sender] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			env.mu.Lock()
			defer env.mu.Unlock()
			env.receivedFrom = append(env.receivedFrom, sender)
			w.WriteHeader(http.StatusOK)
		}))
	}
	return env
}

func (env *testEnv) received() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return strings.Join(env.receivedFrom, "")
}

// startSender runs a controller with an order for server "e".
func (env *testEnv) startSender(t *testing.T, id string, onStep func(string)) *Controller {
	log, err := logservice.NewHTTPLog(env.log.URL, 2*time.Second)
	require.NoError(t, err)
	c := NewController(Options{
		Self: order.Sender{ID: id, Incarnation: 1}, Log: log, Members: singleMember(id),
		RetryInterval: 20 * time.Millisecond, Logger: logging.For(logging.Orders), OnStep: onStep,
	})
	address := strings.TrimPrefix(env.engines[id].URL, "http://")
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

// A sender that pauses at any step for longer than its lease must send nothing once it resumes
// after another sender has sent. The server does not check fences.
func TestPausedSenderNeverOverlapsNext(t *testing.T) {
	steps := []string{"read", "decide", "append claim", "send", "sent", "append done"}
	for _, step := range steps {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			paused, resume := make(chan struct{}), make(chan struct{})
			var once sync.Once
			first := env.startSender(t, "a", func(name string) {
				if name == step {
					once.Do(func() {
						close(paused)
						<-resume
					})
				}
			})
			<-paused
			receivedBefore := env.received()
			second := env.startSender(t, "b", nil)
			require.Eventually(t, second.allSettled, waitTimeout, 20*time.Millisecond)
			close(resume)
			require.Eventually(t, first.allSettled, waitTimeout, 20*time.Millisecond)
			require.Equal(t, receivedBefore+"b", env.received(), "the first sender must send nothing after the second")
		})
	}
}

// The monotonic clock stands still while a machine is suspended, the lease does not: another sender may hold it when the machine
// wakes up.
func TestSenderThatWasSuspendedSendsNothing(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	log, err := logservice.NewHTTPLog(env.log.URL, 2*time.Second)
	require.NoError(t, err)
	var suspended atomic.Int64
	var once sync.Once
	receivedAfter := make(chan string, 1)
	c := NewController(Options{
		Self: order.Sender{ID: "a", Incarnation: 1}, Log: log, Members: singleMember("a"),
		RetryInterval: 20 * time.Millisecond, Logger: logging.For(logging.Orders),
		Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
		OnStep: func(name string) {
			switch name {
			case "send":
				suspended.CompareAndSwap(0, int64(10*time.Second))
			case "sent":
				once.Do(func() { receivedAfter <- env.received() })
			}
		},
	})
	address := strings.TrimPrefix(env.engines["a"].URL, "http://")
	c.SetOrders([]DesiredOrder{{Order: order.Order{Server: "e", Address: address, Kind: order.Load, Model: "m", Fence: 3}}}, time.Now())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(t.Context()) })
	t.Cleanup(wg.Wait)
	require.Empty(t, <-receivedAfter)
	require.Eventually(t, c.allSettled, waitTimeout, 20*time.Millisecond)
	require.Equal(t, "a", env.received(), "sent once, with a lease that it has looked up again")
}

// A daemon that takes over must find in the log that the order is done.
func TestDoneOrderIsNotSentAgain(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	require.Eventually(t, env.startSender(t, "a", nil).allSettled, waitTimeout, 20*time.Millisecond)
	require.Eventually(t, env.startSender(t, "b", nil).allSettled, waitTimeout, 20*time.Millisecond)
	require.Equal(t, "a", env.received())
}

// The lease must be checked just before the write, after everything that may block.
func TestExpiredLeaseSendsNothing(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	address := strings.TrimPrefix(env.engines["a"].URL, "http://")
	err := backend.SendOrder(t.Context(), address, backend.Order{Fence: 1, Kind: "load"}, func() bool { return true })
	require.ErrorIs(t, err, backend.ErrOrderLeaseExpired)
	require.Empty(t, env.received())
}
