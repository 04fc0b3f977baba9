// Package entry serves callers over HTTP on go-zero's rest.
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

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/decode"
	"github.com/filbertrill/filbertrill/internal/filter/idempotency"
	"github.com/filbertrill/filbertrill/internal/filter/identify"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// HeaderZone lets a caller name its data centre.
const HeaderZone = "X-Zone"

// Members tells who is live.
type Members interface {
	Live(now time.Time) []*pb.Member
	Self() *pb.Member
	Ready(now time.Time) bool
}

// Options configure a Server.
type Options struct {
	Host    string
	Port    int    // 0 for any
	TLSCert string // files of the certificate and its key; no TLS when empty
	TLSKey  string
	Config  func() *ticket.Config
	Members Members
	Chain   filter.Handler
	Resume  filter.Handler // of GET /v1/resume
	Metrics http.Handler
	Keys    KeyIssuer
	Logger  *slog.Logger
	// Lifetime is how long callers may keep an answer of /v1/entries.
	Lifetime time.Duration
}

// Server is the callers' side of a daemon.
type Server struct {
	opts   Options
	rest   *rest.Server
	bound  chan net.Addr
	server *http.Server
	// closing makes each answer tell the caller to close its connection.
	closing atomic.Bool
}

// NewServer returns a server that is not yet listening.
func NewServer(opts Options) (*Server, error) {
	s := &Server{opts: opts, bound: make(chan net.Addr, 1)}
	conf := rest.RestConf{Host: opts.Host, Port: opts.Port}
	conf.Name = "filbertrilld"
	conf.CertFile = opts.TLSCert
	conf.KeyFile = opts.TLSKey
	conf.Log.Mode = "console"
	conf.Log.Stat = false
	// Every go-zero middleware is off: its shedding, breaker, timeout and body cap would
	// refuse or cut requests that the chain has to judge.
	routes := &servicesRouter{Router: router.NewRouter(), closing: &s.closing, services: http.HandlerFunc(s.serveChain)}
	routes.SetNotFoundHandler(http.HandlerFunc(notFound))
	routes.SetNotAllowedHandler(http.HandlerFunc(notFound))
	server, err := rest.NewServer(conf, rest.WithRouter(routes))
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

// servicesRouter sends every path of plain services to one handler, since go-zero's
// router has no pattern for the rest of a path.
type servicesRouter struct {
	httpx.Router
	services http.Handler
	closing  *atomic.Bool
}

// ServeHTTP routes a request.
func (r *servicesRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(req.URL.Path, decode.ServicesPrefix) {
		r.services.ServeHTTP(w, req)
		return
	}
	r.Router.ServeHTTP(w, req)
}

// Start listens and returns the bound address. It returns an error when the port cannot be bound.
func (s *Server) Start() (net.Addr, error) {
	failed := make(chan any, 1)
	go func() {
		defer func() { failed <- recover() }()
		s.rest.StartWithOpts(func(server *http.Server) {
			server.ReadHeaderTimeout = 10 * time.Second
			server.BaseContext = func(lis net.Listener) context.Context {
				s.server = server
				s.bound <- lis.Addr()
				return context.Background()
			}
		})
	}()
	select {
	case address := <-s.bound:
		return address, nil
	case reason := <-failed:
		return nil, errors.Newf("listen on %s:%d: %v", s.opts.Host, s.opts.Port, reason)
	}
}

// CloseConnections makes each further answer the last one of its connection.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// Shutdown closes the listener and waits until the requests in progress have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *Server) serveChain(w http.ResponseWriter, h *http.Request) { s.serve(s.opts.Chain, w, h) }

func (s *Server) serveResume(w http.ResponseWriter, h *http.Request) { s.serve(s.opts.Resume, w, h) }

func (s *Server) serve(chain filter.Handler, w http.ResponseWriter, h *http.Request) {
	writer := filter.NewWriter(w)
	config := s.opts.Config()
	if config == nil {
		writer.WriteError(idempotency.MapRefusal(h, result.New(result.NoConfiguration, "no configuration yet")))
		return
	}
	r := &filter.Request{
		ID:       uuid.NewString(),
		HTTP:     h,
		Writer:   writer,
		Received: time.Now(),
		Config:   config,
	}
	if err := chain.Handle(h.Context(), r); err != nil {
		writer.WriteError(err)
	}
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, h *http.Request) {
	config, _, err := s.identified(h)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range config.Services() {
		if service.Kind == ticket.ServiceModel {
			list.Data = append(list.Data, model{ID: service.ID, Object: "model", OwnedBy: "filbertrill"})
		}
	}
	writeJSON(w, list)
}

func (s *Server) identified(h *http.Request) (*ticket.Config, ticket.Account, error) {
	config := s.opts.Config()
	if config == nil {
		return nil, ticket.Account{}, result.New(result.NoConfiguration, "no configuration yet")
	}
	account, err := identify.Account(config, h)
	return config, account, err
}

type entryList struct {
	Entries    []Entry `json:"entries"`
	LifetimeMS int64   `json:"lifetime_ms"`
}

func (s *Server) serveEntries(w http.ResponseWriter, h *http.Request) {
	_, account, err := s.identified(h)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	now := time.Now()
	if !s.opts.Members.Ready(now) {
		result.WriteHTTP(w, result.New(result.NotReady, "the daemon does not know yet who is live"))
		return
	}
	self := s.opts.Members.Self()
	caller := Caller{Account: account.ID, Zone: cmp.Or(h.Header.Get(HeaderZone), self.Zone), Region: self.Region}
	entries := Entries(caller, s.opts.Members.Live(now))
	writeJSON(w, entryList{Entries: entries, LifetimeMS: s.opts.Lifetime.Milliseconds()})
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
		result.WriteHTTP(w, result.New(result.NotReady, "the daemon does not know yet who is live"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func notFound(w http.ResponseWriter, h *http.Request) {
	result.WriteHTTP(w, result.New(result.PathUnknown, "there is no %s %s", h.Method, h.URL.Path))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}
