package gateway

import (
	"context"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/pilot"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// memoryShare is the part of the memory limit at which the collector works harder.
	gcMemoryShare = 0.6
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than any caller keeps an unused connection.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// sweepInterval is the time between two looks at unused connections.
	pruneInterval = time.Second
)

// Platform wraps the product's answers into those of the platform.
type Platform struct {
	Directory func(entries func(zone, region string) Entries) http.Handler
	Readiness func(ready func() bool) http.Handler
	Protocol  forward.Protocol
	Store     topology.Store
	Registry  Registry
	Engines   Engines
}

// Gateway is one running daemon.
type Gateway struct {
	settings Settings
	platform Platform
	logger   *slog.Logger

	topology       *topology.Map
	reader         *topology.Reader
	exchange       *exchange.Exchange
	pilot          *pilot.Pilot
	pool           *upstream.Pool
	handler        *forward.Handler
	metricsHandler http.Handler

	connLimiter    *connLimiter
	draining       atomic.Bool
	stop           chan struct{}
	pullInProgress atomic.Bool
	// pullAfter is when differing lists of servers are pulled again, by steady.UnixNano.
	nextServerPull atomic.Int64
	overload       overloadDetector
	// knowsPrompts is set once the daemon knows where prompts are kept as well as it can.
	cachedPartsKnown atomic.Bool
}

// New wires the parts. Nothing serves before Run.
func New(s Settings, p Platform) (*Gateway, error) {
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(s.MemoryLimitBytes)))
	}
	g := &Gateway{
		settings: s,
		platform: p,
		logger:   logging.For(logging.Daemon),
		pool:     upstream.NewPool(),
		stop:     make(chan struct{}),
	}
	g.pilot = pilot.New(pilot.Options{
		Zone:        s.Zone,
		FairWindow:  s.FairWindow,
		RetryBudget: retry.WindowOptions{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Daemons:     func() int { return g.exchange.Size() },
	})
	g.topology = topology.NewMap(g.serversChanged)
	g.reader = topology.NewReader(topology.ReaderOptions{
		Store:   p.Store,
		Target:  g.topology,
		Duty:    g.readsStore,
		Sharers: func() int { return zoneSize(g.settings.Zone, g.exchange.Members()) },
		Logger:  logging.For(logging.Config),
	})
	metrics, metricsHandler, _ := telemetry.New(telemetry.Options{})
	g.metricsHandler = metricsHandler
	g.connLimiter = &connLimiter{
		limit:           connectionLimit(s.MemoryLimitBytes, s.FileDescriptorLimit),
		refusalResponse: randomUnreadRefusal,
		onRefused: func(account string, tokens float64) {
			metrics.CountResult(result.DaemonFull, "")
			if account != "" && tokens > 0 {
				g.pilot.Ask(account, tokens, time.Now())
			}
		},
		inspect: g.inspectRequest,
		logger:  logging.For(logging.Entry),
	}
	g.handler = forward.NewHandler(forward.Options{
		Protocol: p.Protocol,
		Config:   g.topology.Config,
		Age:      func(now time.Time) time.Duration { return g.reader.Age(topology.Configs, now) },
		Pilot:    g.pilot,
		Pool:     g.pool,
		Crowded:  g.connLimiter.nearLimit,
		Strained: g.overload.overloaded.Load,
		Metrics:  metrics,
		Logger:   logging.For(logging.Entry),
	})
	x, err := exchange.New(exchange.Options{
		Self:     g.member,
		Address:  s.ControlAddress,
		View:     g.viewMessage,
		Received: g.receiveView,
		Records:  g.recordsMessage,
		Prompts:  g.cachedPartsMessage,
		Logger:   logging.For(logging.Peer),
	})
	if err != nil {
		return nil, err
	}
	g.exchange = x
	g.addPeerAddresses(s.Seeds)
	return g, nil
}

// Run serves until a planned stop is over.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.reader.Run(ctx)
	go g.runPoolPruner(ctx)
	go g.watchOverload(ctx)
	go g.runRegistrar(ctx)
	go g.warmUp(ctx)
	go func() {
		if err := g.exchange.Run(ctx); err != nil {
			g.logger.Error("Exchange ended.", "error", err)
		}
	}()
	if err := g.listen(); err != nil {
		return err
	}
	g.logger.Info("Started.", "id", g.settings.ID, "zone", g.settings.Zone, "entry", g.settings.EntryAddress,
		"control", g.settings.ControlAddress)
	<-g.stop
	g.drain()
	return nil
}

func (g *Gateway) listen() error {
	callerListener, err := g.connLimiter.listen(g.settings.EntryAddress)
	if err != nil {
		return err
	}
	callerServer := g.newHTTPServer(g.handler)
	callerServer.ConnContext = forward.WithCaller
	callerServer.ConnState = g.connLimiter.connStateChanged
	g.serve(callerListener, callerServer)
	otherHandlers := map[string]http.Handler{
		g.settings.DirectoryAddress: g.platform.Directory(g.entries),
		g.settings.ReadinessAddress: g.platform.Readiness(g.ready),
		g.settings.MetricsAddress:   g.metricsHandler,
	}
	for address, handler := range otherHandlers {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		g.serve(listener, g.newHTTPServer(handler))
	}
	return nil
}

func (g *Gateway) serve(listener net.Listener, server *http.Server) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logger.Error("Address is not served.", "address", listener.Addr(), "error", err)
		}
	}()
}

func (g *Gateway) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // aborted answers are logged by the handler
	}
}

// look returns the client account that the begin of a request names, "" when it is not known,
// and the tokens that it asks for.
func (g *Gateway) inspectRequest(head []byte) (account string, tokens float64) {
	c := g.topology.Config()
	if c == nil {
		return "", 0
	}
	envelope := g.platform.Protocol.Glance(head)
	if a := c.AccountOf(envelope.Key); a != nil {
		account = a.Name
	}
	return account, pilot.Tokens(envelope.Prompt, envelope.Output)
}

func (g *Gateway) addPeerAddresses(addresses []string) {
	for _, address := range addresses {
		g.exchange.Know(address, "")
	}
}

// Reload logs that the settings have changed. What they hold for a running daemon, such
// as seeds, is learnt from peers and the store.
func (g *Gateway) Reload(s Settings) {
	g.addPeerAddresses(s.Seeds)
	g.logger.Info("Settings reloaded.", "seeds", s.Seeds)
}

func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.topology.Config() != nil && g.reader.Listed()
}

func (g *Gateway) runPoolPruner(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(pruneInterval):
			_ = now
		}
		known := make(map[upstream.Endpoint]bool)
		for _, s := range g.topology.Servers() {
			known[upstream.Endpoint{Address: s.Address, ID: s.ID, Incarnation: s.Born}] = true
		}
		g.pool.Prune(func(e upstream.Endpoint) bool { return known[e] }, time.Now())
	}
}

func (g *Gateway) serversChanged() {
	g.pilot.SetServers(g.topology.Servers(), g.topology.Config())
	g.exchange.Wake()
}
