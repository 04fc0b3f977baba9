package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"syscall"
	"time"

	"github.com/filbertrill/filbertrill/internal/gateway"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/signals"
	"github.com/filbertrill/filbertrill/platform"
)

// settingsPollInterval is the interval between reads of the settings file, which may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// runGateway runs the daemon as a gateway with the platform's settings file at path.
func runGateway(path string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	logWriter := logging.NewAsyncWriter(os.Stdout)
	defer logWriter.Close()
	logging.Setup(logging.Options{Level: slog.LevelInfo, Writer: logWriter})
	store := platform.NewStore(settings.StoreAddress, platform.WithRecordBytes(settings.RecordBytes))
	g, err := gateway.New(settings.Gateway, gateway.Platform{
		Directory: platform.Directory,
		Readiness: platform.Readiness,
		Protocol:  platform.Protocol{},
		Store:     store,
		Registry:  store,

		Quarantine: store,
		Versions:   store,
		Engines:    platform.NewEngines(),
	})
	if err != nil {
		return err
	}
	go handleSignals(g, path)
	return g.Run(context.Background())
}

// handleSignals drains the gateway on SIGTERM or an interrupt, and applies changes of the
// settings file at path, which it reads on SIGHUP and at every settingsPollInterval.
func handleSignals(g *gateway.Gateway, path string) {
	lastData, _ := os.ReadFile(path) // runGateway has just read it; a failure appears again at the next poll
	for {
		select {
		case s := <-signals.Received():
			slog.Info("daemon: Received a signal.", "signal", s.String())
			if s != syscall.SIGHUP {
				g.Drain()
				continue
			}
		case <-time.After(settingsPollInterval):
		}
		data, err := os.ReadFile(path)
		if err != nil {
			slog.Warn("daemon: Failed to read the settings file, keeping the previous settings.", "error", err)
			continue
		}
		if bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		settings, err := platform.ParseSettings(data)
		if err != nil {
			slog.Warn("daemon: Invalid settings file, keeping the previous settings.", "error", err)
			continue
		}
		g.Reload(settings.Gateway)
	}
}
