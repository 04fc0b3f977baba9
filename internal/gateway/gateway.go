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
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than any caller keeps an unused connection.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// sweepInterval is the time between two looks at unused connections.
	sweepInterval = time.Second
)

// Handlers wraps the product's answers into those of the platform.
type Handlers struct {
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
	handlers Handlers
	logger   *slog.Logger

	topology *topology.State
	reader   *topology.Reader
	exchange *exchange.Exchange
	pilot    *scheduler.Scheduler
	pool     *upstream.Pool
	handler  *forward.Handler
	scrape   http.Handler

	callers  *connections
	draining atomic.Bool
	stop     chan struct{}
	pulling  atomic.Bool
	// pullAfter is when differing lists of servers are pulled again, by steady.UnixNano.
	pullAfter atomic.Int64
	strain    strain
	// knowsPrompts is set once the daemon knows where prompts are kept as well as it can.
	knowsPrompts atomic.Bool
}

// New wires the parts. Nothing serves before Run.
func New(s Settings, h Handlers) (*Gateway, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	g := &Gateway{
		settings: s,
		handlers: h,
		logger:   logging.For(logging.Daemon),
		pool:     upstream.NewPool(),
		stop:     make(chan struct{}),
	}
	g.pilot = scheduler.New(scheduler.Options{
		Zone:        s.Zone,
		FairWindow:  s.FairWindow,
		RetryBudget: retry.WindowOptions{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Daemons:     func() int { return g.exchange.FleetSize() },
	})
	g.topology = topology.NewState(g.serversChanged)
	g.reader = topology.NewReader(topology.ReaderOptions{
		Store:       h.Store,
		State:       g.topology,
		ReadsStore:  g.onDuty,
		ReaderCount: func() int { return zoneSize(g.settings.Zone, g.exchange.Members()) },
		Logger:      logging.For(logging.Config),
	})
	metrics, scrape, _ := telemetry.New(telemetry.Options{})
	g.scrape = scrape
	g.callers = &connections{
		limit:   connectionLimit(s.MemoryBytes, s.Descriptors),
		refusal: unreadRefusal,
		counted: func(account string, tokens float64) {
			metrics.CountResult(result.DaemonFull, "")
			if account != "" && tokens > 0 {
				g.pilot.RecordDemand(account, tokens, time.Now())
			}
		},
		look:   g.look,
		logger: logging.For(logging.Entry),
	}
	g.handler = forward.NewHandler(forward.Options{
		Protocol:           h.Protocol,
		Config:             g.topology.Config,
		ConfigAge:          func(now time.Time) time.Duration { return g.reader.Age(topology.Configs, now) },
		Scheduler:          g.pilot,
		Pool:               g.pool,
		ConnectionPressure: g.callers.crowded,
		Overloaded:         g.strain.strained.Load,
		Metrics:            metrics,
		Logger:             logging.For(logging.Entry),
	})
	x, err := exchange.New(exchange.Options{
		Self:           g.member,
		ControlAddress: s.Control,
		View:           g.view,
		OnView:         g.received,
		Records:        g.records,
		CachedParts:    g.prompts,
		Logger:         logging.For(logging.Peer),
	})
	if err != nil {
		return nil, err
	}
	g.exchange = x
	g.know(s.Seeds)
	return g, nil
}

// Run serves until a planned stop is over.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.reader.Run(ctx)
	go g.sweep(ctx)
	go g.watchStrain(ctx)
	go g.keepRegistered(ctx)
	go g.warmUp(ctx)
	go func() {
		if err := g.exchange.Run(ctx); err != nil {
			g.logger.Error("Exchange ended.", "error", err)
		}
	}()
	if err := g.listen(); err != nil {
		return err
	}
	g.logger.Info("Started.", "id", g.settings.ID, "zone", g.settings.Zone, "entry", g.settings.Entry,
		"control", g.settings.Control)
	<-g.stop
	g.drain()
	return nil
}

func (g *Gateway) listen() error {
	callers, err := g.callers.listen(g.settings.Entry)
	if err != nil {
		return err
	}
	entry := g.server(g.handler)
	entry.ConnContext = forward.WithCallerConn
	entry.ConnState = g.callers.track
	g.serve(callers, entry)
	others := map[string]http.Handler{
		g.settings.Directory: g.handlers.Directory(g.entries),
		g.settings.Readiness: g.handlers.Readiness(g.ready),
		g.settings.Metrics:   g.scrape,
	}
	for address, handler := range others {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		g.serve(listener, g.server(handler))
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

func (g *Gateway) server(h http.Handler) *http.Server {
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
func (g *Gateway) look(begin []byte) (account string, tokens float64) {
	c := g.topology.Config()
	if c == nil {
		return "", 0
	}
	glance := g.handlers.Protocol.DecodePartialRequest(begin)
	if a := c.AccountByKey(glance.APIKey); a != nil {
		account = a.Name
	}
	return account, scheduler.RequestCost(glance.PromptTokens, glance.OutputTokens)
}

func (g *Gateway) know(seeds []string) {
	for _, control := range seeds {
		g.exchange.AddAddress(control, "")
	}
}

// Reload logs that the settings have changed. What they hold for a running daemon, such
// as seeds, is learnt from peers and the store.
func (g *Gateway) Reload(s Settings) {
	g.know(s.Seeds)
	g.logger.Info("Settings reloaded.", "seeds", s.Seeds)
}

func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.topology.Config() != nil && g.reader.ServersListed()
}

func (g *Gateway) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(sweepInterval):
			_ = now
		}
		known := make(map[upstream.Endpoint]bool)
		for _, s := range g.topology.Servers() {
			known[upstream.Endpoint{Address: s.Address, ID: s.ID, Born: s.Incarnation}] = true
		}
		g.pool.Keep(func(e upstream.Endpoint) bool { return known[e] }, time.Now())
	}
}

func (g *Gateway) serversChanged() {
	g.pilot.SetServers(g.topology.Servers(), g.topology.Config())
	g.exchange.TriggerSend()
}
