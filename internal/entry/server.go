// Package entry implements the HTTP API for callers, on go-zero's REST server.
package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/filbertrill/filbertrill/internal/callerconn"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/decode"
	"github.com/filbertrill/filbertrill/internal/filter/idempotency"
	"github.com/filbertrill/filbertrill/internal/filter/identify"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// HeaderZone is the request header with the caller's data centre.
const HeaderZone = "X-Zone"

// Members provides the live members of the fleet and the daemon's own record.
type Members interface {
	Live(now time.Time) []*pb.Member
	Self() *pb.Member
	// Ready reports whether the live members are known, so that they may be returned.
	Ready(now time.Time) bool
}

// Options configure a Server.
type Options struct {
	Host    string
	Port    int    // 0 for any free port
	TLSCert string // certificate file; TLS is off if empty
	TLSKey  string // private key file
	Config  func() *ticket.Config
	Members Members
	Chain   filter.Handler // handles requests to models and services
	Resume  filter.Handler // handles GET /v1/resume
	Metrics http.Handler
	Keys    KeyIssuer
	Logger  *slog.Logger // may be nil
	// CountPanic counts a panic of a handler outside of the chains. It may be nil.
	CountPanic func()
	// Lifetime is how long callers may cache a response of /v1/entries.
	Lifetime time.Duration
}

// Server is the HTTP server of a daemon for callers.
type Server struct {
	opts         Options
	rest         *rest.Server
	boundAddress chan net.Addr
	server       *http.Server
	// keepAlivesDisabled adds "Connection: close" to all responses.
	keepAlivesDisabled atomic.Bool
}

// NewServer returns a server that does not yet listen.
func NewServer(opts Options) (*Server, error) {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{opts: opts, boundAddress: make(chan net.Addr, 1)}
	restConfig := rest.RestConf{Host: opts.Host, Port: opts.Port}
	restConfig.Name = "filbertrilld"
	restConfig.CertFile = opts.TLSCert
	restConfig.KeyFile = opts.TLSKey
	restConfig.Log.Mode = "console"
	restConfig.Log.Stat = false
	// All go-zero middlewares are off: its load shedding, circuit breaker, timeout and body
	// limit would reject or cut off requests on which the filter chain has to decide.
	routes := &servicesRouter{Router: router.NewRouter(), keepAlivesDisabled: &s.keepAlivesDisabled, services: http.HandlerFunc(s.serveChain)}
	routes.SetNotFoundHandler(http.HandlerFunc(notFound))
	routes.SetNotAllowedHandler(http.HandlerFunc(notFound))
	server, err := rest.NewServer(restConfig, rest.WithRouter(&recoveringRouter{routes, recovery.HTTPHandler(routes, s.recordPanic, writePanic)}))
	if err != nil {
		return nil, errors.Wrap(err, "set up the HTTP server")
	}
	server.AddRoutes([]rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.serveChain},
		{Method: http.MethodGet, Path: "/v1/resume", Handler: s.serveResume},
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.serveModels},
		{Method: http.MethodGet, Path: "/v1/entries", Handler: s.serveEntries},
		{Method: http.MethodGet, Path: "/v1/keys", Handler: s.serveKeys},
		{Method: http.MethodGet, Path: "/healthz", Handler: serveHealth},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.serveReady},
		{Method: http.MethodGet, Path: "/metrics", Handler: opts.Metrics.ServeHTTP},
	})
	s.rest = server
	return s, nil
}

// servicesRouter routes all paths of plain services to one handler, since go-zero's router
// has no wildcard for the rest of a path.
type servicesRouter struct {
	httpx.Router
	services           http.Handler
	keepAlivesDisabled *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (r *servicesRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(req.URL.Path, decode.ServicesPrefix) {
		r.services.ServeHTTP(w, req)
		return
	}
	r.Router.ServeHTTP(w, req)
}

// recoveringRouter handles requests with a handler that ends panics of the router.
type recoveringRouter struct {
	httpx.Router
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (r *recoveringRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

func (s *Server) recordPanic(r *http.Request, p *recovery.Panic, begun bool) {
	if s.opts.CountPanic != nil {
		s.opts.CountPanic()
	}
	s.opts.Logger.Error("Panic while handling a request.", "method", r.Method, "path", r.URL.Path, "caller", r.RemoteAddr,
		"begun", begun, "panic", p.Value, "stack", p.Stack)
}

func writePanic(w http.ResponseWriter) {
	result.WriteHTTP(w, result.New(result.Internal, "the daemon failed"))
}

// Start listens in the background and returns the bound address. It returns an error if the
// port cannot be bound.
func (s *Server) Start() (net.Addr, error) {
	failed := make(chan any, 1)
	go func() {
		defer func() { failed <- recover() }()
		s.rest.StartWithOpts(func(server *http.Server) {
			server.ReadHeaderTimeout = 10 * time.Second
			server.ConnContext = callerconn.With
			server.ErrorLog = logging.NewServerLog(s.opts.Logger)
			server.BaseContext = func(lis net.Listener) context.Context {
				s.server = server
				s.boundAddress <- lis.Addr()
				return context.Background()
			}
		})
	}()
	select {
	case address := <-s.boundAddress:
		return address, nil
	case reason := <-failed:
		return nil, errors.Newf("listen on %s:%d: %v", s.opts.Host, s.opts.Port, reason)
	}
}

// DisableKeepAlives adds "Connection: close" to all further responses, so that callers have
// to open new connections.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown closes the listener and waits for requests in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *Server) serveChain(w http.ResponseWriter, r *http.Request) { s.serve(s.opts.Chain, w, r) }

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) { s.serve(s.opts.Resume, w, r) }

func (s *Server) serve(chain filter.Handler, w http.ResponseWriter, req *http.Request) {
	writer := filter.NewWriter(w, req)
	defer writer.Close()
	config := s.opts.Config()
	if config == nil {
		writer.WriteError(idempotency.MapRefusal(req, result.New(result.NoConfiguration, "no configuration yet")))
		return
	}
	r := &filter.Request{
		ID:       uuid.NewString(),
		HTTP:     req,
		Writer:   writer,
		Received: time.Now(),
		Config:   config,
	}
	if err := chain.Handle(req.Context(), r); err != nil {
		writer.WriteError(err)
	}
}

type modelsResponse struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, req *http.Request) {
	config, _, err := s.authenticate(req)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	response := modelsResponse{Object: "list", Data: []model{}}
	for _, service := range config.Services() {
		if service.Kind == ticket.ServiceModel {
			response.Data = append(response.Data, model{ID: service.ID, Object: "model", OwnedBy: "filbertrill"})
		}
	}
	writeJSON(w, response)
}

// authenticate returns the current configuration and the account of the request's API key.
func (s *Server) authenticate(req *http.Request) (*ticket.Config, ticket.Account, error) {
	config := s.opts.Config()
	if config == nil {
		return nil, ticket.Account{}, result.New(result.NoConfiguration, "no configuration yet")
	}
	account, err := identify.Account(config, req)
	return config, account, err
}

type entriesResponse struct {
	Entries    []Entry `json:"entries"`
	LifetimeMS int64   `json:"lifetime_ms"`
}

func (s *Server) serveEntries(w http.ResponseWriter, req *http.Request) {
	_, account, err := s.authenticate(req)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	now := time.Now()
	if !s.opts.Members.Ready(now) {
		result.WriteHTTP(w, result.New(result.NotReady, "the live members of the fleet are not yet known"))
		return
	}
	self := s.opts.Members.Self()
	caller := Caller{Account: account.ID, Zone: cmp.Or(req.Header.Get(HeaderZone), self.Zone), Region: self.Region}
	entries := Entries(caller, s.opts.Members.Live(now))
	writeJSON(w, entriesResponse{Entries: entries, LifetimeMS: s.opts.Lifetime.Milliseconds()})
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Config() == nil {
		result.WriteHTTP(w, result.New(result.NoConfiguration, "no configuration yet"))
		return
	}
	if s.opts.Members.Self().State != pb.MemberState_MEMBER_STATE_LIVE {
		result.WriteHTTP(w, result.New(result.Draining, "the daemon is draining"))
		return
	}
	if !s.opts.Members.Ready(time.Now()) {
		result.WriteHTTP(w, result.New(result.NotReady, "the live members of the fleet are not yet known"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func notFound(w http.ResponseWriter, req *http.Request) {
	result.WriteHTTP(w, result.New(result.PathUnknown, "no such endpoint: %s %s", req.Method, req.URL.Path))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
