// Command filbertrilld is the daemon of the filbertrill router fleet.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"github.com/filbertrill/filbertrill/internal/daemon"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/signals"
	"github.com/filbertrill/filbertrill/platform"
)

// goZeroShutdownDelay is longer than any drain. go-zero kills the process a configured time after
// a termination signal, which would cut off requests in progress.
const goZeroShutdownDelay = 10 * 365 * 24 * time.Hour

func main() {
	if err := run(); err != nil {
		e := result.From(err)
		fmt.Fprintf(os.Stderr, "filbertrilld: %v\n", e)
		os.Exit(result.ExitCode(e.Code))
	}
}

func run() error {
	proc.Setup(proc.ShutdownConf{WrapUpTime: goZeroShutdownDelay, WaitTime: 2 * goZeroShutdownDelay})
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return runGateway(path)
	}
	settings, err := daemon.ParseSettings(os.Args[1:], os.Environ(), os.Stdout, os.Exit)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
		return result.Wrap(err, result.SettingInvalid, "--log-level %q", settings.LogLevel)
	}
	logging.Setup(logging.Options{Level: level, JSON: settings.LogJSON, Writer: os.Stderr})
	d, err := daemon.New(settings)
	if err != nil {
		return err
	}
	go drainOnSignal(d)
	return d.Run(context.Background(), func(address string) {
		fmt.Printf("listening %s peers %s\n", address, d.PeerAddress())
	})
}

// drainOnSignal drains the daemon on SIGTERM, SIGHUP or an interrupt. Further signals have no effect, so
// that repeating a signal does not cut off requests in progress.
func drainOnSignal(d *daemon.Daemon) {
	for range signals.Received() {
		slog.Info("daemon: Received a signal, draining.")
		d.Drain()
	}
}
