// Command standin runs stand-ins for the backend servers and the platform's services.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/test/standin/engine"
	"github.com/filbertrill/filbertrill/test/standin/instances"
	"github.com/filbertrill/filbertrill/test/standin/logstore"
	"github.com/filbertrill/filbertrill/test/standin/plain"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

type commands struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`

	Engine engineCommand `cmd:"" help:"Run an inference engine."`
	Plain  plainCommand  `cmd:"" help:"Run a server for plain HTTP requests."`
	Log    logCommand    `cmd:"" help:"Run the append-only log."`
	List   listCommand   `cmd:"" help:"Run the instance list."`
}

type engineCommand struct {
	Model         string        `default:"standin" help:"Name of the model."`
	Slots         int           `default:"8" help:"Maximum number of requests that run at once."`
	TokenInterval time.Duration `default:"10ms" help:"Time between two answer tokens of a request."`
	Prefill       time.Duration `default:"0s" help:"Time per prompt token that is not cached."`
	CacheBlocks   int           `default:"1024" help:"Blocks of prompt tokens in the prefix cache."`
	DefaultTokens int           `default:"16" help:"Answer tokens if the request sets no limit."`
	ResumeWindow  time.Duration `default:"30s" help:"Time that a run continues without a reader."`
	LoadLag       time.Duration `default:"0s" help:"Delay of the reported load."`
	EventLag      time.Duration `default:"0s" help:"Delay of the reported cache events."`
	EventGapEvery int           `default:"0" help:"Drop every Nth cache event; 0 drops none."`
	ChecksOrders  bool          `help:"Reject an order with a fence below the highest seen."`
}

// Run serves the engine.
func (c engineCommand) Run(global *commands) error {
	e := engine.New(engine.Options{
		Model:         c.Model,
		Slots:         c.Slots,
		TokenInterval: c.TokenInterval,
		Prefill:       c.Prefill,
		CacheBlocks:   c.CacheBlocks,
		DefaultTokens: c.DefaultTokens,
		ResumeWindow:  c.ResumeWindow,
		LoadLag:       c.LoadLag,
		EventLag:      c.EventLag,
		EventGapEvery: c.EventGapEvery,
		ChecksOrders:  c.ChecksOrders,
	})
	return serve(global.Listen, e, e.Close)
}

type plainCommand struct {
	WorkTime time.Duration `default:"0s" help:"Duration of each run."`
}

// Run serves the plain server.
func (c plainCommand) Run(global *commands) error {
	s := plain.New(plain.Options{WorkTime: c.WorkTime})
	return serve(global.Listen, s, s.Close)
}

type logCommand struct {
	MaxRecords       int           `default:"0" help:"Records retained per topic; 0 retains all."`
	MaxAge           time.Duration `default:"0s" help:"Age above which a record expires; 0 retains all."`
	AppendsPerSecond int           `default:"0" help:"Maximum append requests per second; 0 means no limit."`
}

// Run serves the log.
func (c logCommand) Run(global *commands) error {
	s := logstore.New(logstore.Options{
		MaxRecords:       c.MaxRecords,
		MaxAge:           c.MaxAge,
		AppendsPerSecond: c.AppendsPerSecond,
	})
	return serve(global.Listen, s, func() {})
}

type listCommand struct {
	Lag time.Duration `default:"0s" help:"Delay until a change is visible."`
}

// Run serves the instance list.
func (c listCommand) Run(global *commands) error {
	return serve(global.Listen, instances.New(instances.Options{Lag: c.Lag}), func() {})
}

// serve prints the address that it listens on and serves until SIGINT or SIGTERM.
func serve(address string, handler http.Handler, closeHandler func()) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println("listening", listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	closeHandler()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(server.Close(), "close")
	}
	return nil
}

func main() {
	var global commands
	kongCtx := kong.Parse(&global, kong.Name("standin"), kong.Description("Stand-ins for tests."))
	kongCtx.FatalIfErrorf(kongCtx.Run(&global))
}
