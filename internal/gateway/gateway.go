package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/callerconn"
	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/fairness"
	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// gcMemoryShare is the fraction of the memory limit that is set as the Go runtime's soft
	// limit, above which the garbage collector runs more often.
	gcMemoryShare = 0.6
	// gcPercent is the growth of the heap after which the garbage collector runs, below that limit. The
	// heap is small, and messages of peers become garbage at once: with the default of 100 the
	// collector took a quarter of the processor time of 195 daemons.
	gcPercent = 300
	// bodyMemoryShare is the fraction of the memory limit for the bodies of requests in progress. It is small, as the heap may
	// grow by garbage up to gcMemoryShare.
	bodyMemoryShare = 0.16
	// maxBodyMemory bounds it.
	maxBodyMemory = 48 << 20
	// answerMemoryShare is the fraction of the memory limit for answers of servers in progress, beyond what
	// connectionMemoryShare allows for.
	answerMemoryShare = 0.06
	// headerTimeout bounds the time to read a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection open, so that the callers
	// close them.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the size of a request's head.
	maxHeaderBytes = 64 << 10
	// pruneInterval is the time between two checks for idle connections to close.
	pruneInterval = time.Second
)

// Platform adapts the gateway to the protocols and services of a platform.
type Platform struct {
	// Directory returns the handler that tells callers which entries to connect to.
	Directory func(entries func(host, zone, region string) Entries) http.Handler
	// Readiness returns the handler for readiness probes.
	Readiness func(ready func() bool) http.Handler
	Protocol  forward.Protocol
	Store     topology.Store
	Registry  Registry
	Engines   Engines
	// Quarantine may be nil; the evidence against suspects is then kept in memory only.
	Quarantine QuarantineStore
	// Versions may be nil. Streams that no living daemon knows are then refused.
	Versions VersionStore
}

// Gateway is the running daemon: the listeners, the state that they share and the goroutines
// that keep it current.
type Gateway struct {
	settings Settings
	platform Platform
	logger   *slog.Logger

	topology       *topology.State
	changeMu       sync.Mutex // held while the servers are passed on, see serversChanged
	places         places     // guarded by changeMu
	reader         *topology.Reader
	exchange       *exchange.Exchange
	scheduler      *scheduler.Scheduler
	origins        *streamOrigins
	pool           *upstream.Pool
	handler        *forward.Handler
	metrics        *telemetry.Metrics
	fairness       fairness.Meter
	metricsHandler http.Handler

	connLimiter    *connLimiter
	callerListener net.Listener
	draining       atomic.Bool
	hasBegun       atomic.Bool // see readyToBegin
	suspectsKnown  atomic.Bool // the stored evidence was read once, or is not awaited any longer
	stop           chan struct{}
	pullInProgress atomic.Bool
	// nextServerPull is the earliest time at which a differing list of servers is pulled
	// again, as monotonic.UnixNano.
	nextServerPull atomic.Int64
	peerStoreEra   atomic.Uint64 // highest era of the store that a peer has reported
	overload       overloadDetector
	// cachedPartsKnown is set when the warm-up has ended. The daemon then knows the cached
	// prefix parts of engines as well as its peers do.
	cachedPartsKnown atomic.Bool
}

// New returns a gateway. It sets the memory limit of the process and binds the control
// address; nothing is served before Run.
func New(s Settings, p Platform) (*Gateway, error) {
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(s.MemoryLimitBytes)))
		debug.SetGCPercent(gcPercent)
	}
	g := &Gateway{
		settings: s,
		platform: p,
		logger:   logging.For(logging.Daemon),
		pool:     upstream.NewPool(),
		stop:     make(chan struct{}),
	}
	g.places = newPlaces(s)
	g.scheduler = scheduler.New(scheduler.Options{
		ID:          s.ID,
		Zone:        s.Zone,
		FairWindow:  s.FairWindow,
		RetryBudget: retry.WindowOptions{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Daemons:     func() int { return g.exchange.FleetSize() },
		Shares:      func() int { return g.exchange.Shares() },
		MayTry:      g.mayTry,

		ListAsOf:        g.listAsOf,
		RegistrationLag: registrationIntervals * s.HeartbeatInterval,
	})
	g.pool.SetContinuity(continuity{g.scheduler})
	g.origins = newStreamOrigins(originOptions{
		members:  func() []*pb.Member { return g.exchange.Members() },
		listAsOf: g.listAsOf,
		send:     func(o *pb.Origins, controlAddresses ...string) { g.exchange.SendOrigins(o, controlAddresses...) },
		logger:   logging.For(logging.Daemon),
	})
	g.topology = topology.NewState(g.serversChanged)
	g.reader = topology.NewReader(topology.ReaderOptions{
		Store:         p.Store,
		State:         g.topology,
		ReadsStore:    g.readsStore,
		ReadsFirst:    g.readsStoreFirst,
		OnReturn:      g.tellReturn,
		OnGone:        g.tellGone,
		ReaderCount:   func() int { return zoneSize(g.settings.Zone, g.exchange.Members()) },
		ReaderRank:    func() int { return zoneRank(g.member(), g.exchange.Members()) },
		StateInterval: func() time.Duration { return g.exchange.ReceiveInterval() },
		Logger:        logging.For(logging.Config),
	})
	metrics, metricsHandler, _ := telemetry.New(telemetry.Options{})
	g.metrics, g.metricsHandler = metrics, metricsHandler
	g.connLimiter = &connLimiter{
		limit:           connectionLimit(s.MemoryLimitBytes, s.FileDescriptorLimit),
		refusalResponse: randomUnreadRefusal,
		onRefused: func(account string, tokens float64) {
			metrics.CountResult(result.DaemonFull, "")
			if account != "" && tokens > 0 {
				g.recordUnread(account, tokens, time.Now())
			}
		},
		inspect: g.inspectRequest,
		logger:  logging.For(logging.Entry),
	}
	g.handler = forward.NewHandler(forward.Options{
		Zone:               s.Zone,
		Protocol:           p.Protocol,
		Config:             g.topology.Config,
		ConfigAge:          func(now time.Time) time.Duration { return g.reader.Age(topology.Configs, now) },
		Scheduler:          g.scheduler,
		Origins:            g.origins,
		ServerKnowledge:    g.serverKnowledge,
		Pool:               g.pool,
		ConnectionPressure: g.connLimiter.nearLimit,
		Overloaded:         g.overload.overloaded.Load,
		BodyMemory:         min(int64(bodyMemoryShare*float64(s.MemoryLimitBytes)), maxBodyMemory),
		AnswerMemory:       int64(answerMemoryShare * float64(s.MemoryLimitBytes)),
		Metrics:            metrics,
		Fairness:           &g.fairness,
		Logger:             logging.For(logging.Entry),
	})
	x, err := exchange.New(exchange.Options{
		Self:           g.member,
		ControlAddress: s.ControlAddress,
		View:           g.viewMessage,
		OnView:         g.receiveView,
		OnOwnZone:      g.receiveOwnZone,
		UsageTTL:       s.FairWindow,
		Records:        g.recordsMessage,
		CachedParts:    g.cachedPartsMessage,
		Quarantine:     g.quarantineMessage,
		LiftQuarantine: g.liftQuarantine,
		OnOrigins:      g.origins.handle,
		OnStoreNews:    g.receiveStoreNews,
		Notices:        g.noticesMessage,
		OnZoneTraffic:  metrics.CountZoneTraffic,
		OnControl:      metrics.CountControl,
		Logger:         logging.For(logging.Peer),
	})
	if err != nil {
		return nil, err
	}
	g.exchange = x
	g.addPeerAddresses(s.Seeds)
	return g, nil
}

// Run serves until a graceful shutdown, started by Drain, is complete. It returns an error if
// an address can't be bound.
func (g *Gateway) Run(ctx context.Context) error {
	if g.draining.Load() {
		g.logger.Info("Stopped during the start.")
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		g.awaitPeers(ctx)
		g.reader.Run(ctx)
	}()
	go g.runPoolPruner(ctx)
	go g.watchOverload(ctx)
	go g.runRegistrar(ctx)
	go g.logFairness(ctx)
	go g.warmUp(ctx)
	if g.platform.Quarantine != nil {
		go g.runQuarantineKeeper(ctx)
	}
	if g.platform.Versions != nil {
		go g.runVersionKeeper(ctx)
	}
	go func() {
		if err := g.exchange.Run(ctx); err != nil {
			g.logger.Error("Exchange failed.", "error", err)
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
	g.callerListener = callerListener
	callerServer := g.newHTTPServer(g.handler)
	callerServer.ConnContext = callerconn.With
	callerServer.ConnState = g.connLimiter.connStateChanged
	g.serve(callerListener, callerServer)
	otherHandlers := map[string]http.Handler{
		g.settings.DirectoryAddress: g.withRecovery(telemetry.Directory, g.platform.Directory(g.entries)),
		g.settings.ReadinessAddress: g.withRecovery(telemetry.Readiness, g.platform.Readiness(g.readyToBegin)),
		g.settings.MetricsAddress:   g.withRecovery(telemetry.Scrapes, g.metricsHandler),
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

// withRecovery returns a handler that logs, counts and answers the panics of next, which serves the named interface.
func (g *Gateway) withRecovery(name string, next http.Handler) http.Handler {
	return recovery.HTTPHandler(next, func(r *http.Request, p *recovery.Panic, begun bool) {
		g.metrics.CountPanic(name)
		g.logger.Error("Panic while handling a request.", "interface", name, "method", r.Method, "path", r.URL.Path,
			"caller", r.RemoteAddr, "begun", begun, "panic", p.Value, "stack", p.Stack)
	}, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) })
}

func (g *Gateway) serve(listener net.Listener, server *http.Server) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.logger.Error("HTTP server failed.", "address", listener.Addr(), "error", err)
		}
	}()
}

func (g *Gateway) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.NewServerLog(g.logger),
	}
}

// inspectRequest returns the client account and the number of requested tokens, as far as
// the first bytes of a request contain them. The account is "" if it is missing or unknown.
func (g *Gateway) inspectRequest(head []byte) (account string, tokens float64) {
	c := g.topology.Config()
	if c == nil {
		return "", 0
	}
	envelope := g.platform.Protocol.DecodePartialRequest(head)
	if a := c.AccountByKey(envelope.APIKey); a != nil {
		account = a.Name
	}
	return account, scheduler.RequestCost(envelope.PromptTokens, envelope.OutputTokens)
}

func (g *Gateway) addPeerAddresses(addresses []string) {
	for _, address := range addresses {
		g.exchange.AddAddress(address, "")
	}
}

// Reload adds the seeds of changed settings to the known daemons. It applies no other
// setting.
func (g *Gateway) Reload(s Settings) {
	g.addPeerAddresses(s.Seeds)
	g.logger.Info("Settings reloaded.", "seeds", s.Seeds)
}

// listAsOf returns the time as of which the list of servers was last known to be complete, the zero time before the first.
func (g *Gateway) listAsOf(now time.Time) time.Time {
	if !g.reader.ServersListed() {
		return time.Time{}
	}
	return now.Add(-g.reader.Age(topology.Servers, now))
}

// serverKnowledge implements forward.Options.ServerKnowledge.
func (g *Gateway) serverKnowledge(id string, now time.Time) (topology.Knowledge, time.Duration) {
	return g.topology.Knowledge(id, now), g.reader.Age(topology.Servers, now)
}

func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.topology.Config() != nil && g.reader.ServersListed()
}

// readyToBegin reports whether the daemon is ready, knows the stored evidence against suspects, and has been able to begin streams since
// its start. One that starts while several versions are in use waits until the others of the fleet know them too.
func (g *Gateway) readyToBegin() bool {
	if !g.ready() || g.platform.Quarantine != nil && !g.suspectsKnown.Load() {
		return false
	}
	if !g.hasBegun.Load() && g.mayBeginStreams(time.Now()) {
		g.hasBegun.Store(true)
	}
	return g.hasBegun.Load()
}

// runPoolPruner closes idle connections that are too old or whose server is gone, and updates gauges, until the
// context ends.
func (g *Gateway) runPoolPruner(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(pruneInterval):
			_ = now
		}
		g.publishNotices()
		g.pool.Prune(func(e upstream.Endpoint) bool { return g.topology.Lists(e.ID, e.Address, e.Incarnation) }, time.Now())
	}
}

// serversChanged passes the servers and the configuration on after each change. Changes come from
// several goroutines: without the lock, one that was interrupted after it had got the servers could
// replace a newer list by its own, and a server that has left would stay in use until the next change.
func (g *Gateway) serversChanged() {
	g.changeMu.Lock()
	defer g.changeMu.Unlock()
	servers := g.topology.Servers()
	g.places.complete(servers, g.topology.Config(), g.topology.Evacuations().Zones, time.Now())
	g.origins.setServers(servers, g.topology.Config(), time.Now())
	g.scheduler.SetServers(servers, g.topology.Config())
	g.exchange.TriggerSend()
}
