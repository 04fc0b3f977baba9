package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/filbertrill/filbertrill/internal/gateway"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/platform"
)

// settingsPoll is the time between two looks at the settings file, which may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// runGateway runs the daemon with the settings file of the platform.
func runGateway(path string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	logWriter := logging.NewAsync(os.Stdout)
	defer logWriter.Close()
	logging.Setup(logging.Options{Level: slog.LevelInfo, Writer: logWriter})
	store := platform.NewStore(settings.StoreAddress)
	g, err := gateway.New(settings.Gateway, gateway.Platform{
		Directory: platform.Directory,
		Readiness: platform.Readiness,
		Protocol:  platform.Protocol{},
		Store:     store,
		Registry:  store,
		Engines:   platform.NewEngines(),
	})
	if err != nil {
		return err
	}
	go handleSignals(g, path)
	return g.Run(context.Background())
}

// handleSignals begins a planned stop on SIGTERM, and takes in changed settings.
func handleSignals(g *gateway.Gateway, path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	lastData, _ := os.ReadFile(path) // was read at the start
	for {
		select {
		case s := <-signals:
			slog.Info("daemon: Got a signal.", "signal", s.String())
			if s != syscall.SIGHUP {
				g.Drain()
				continue
			}
		case <-time.After(settingsPollInterval):
		}
		data, err := os.ReadFile(path)
		if err != nil {
			slog.Warn("daemon: Settings not read, the old ones stay.", "error", err)
			continue
		}
		if bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		settings, err := platform.ParseSettings(data)
		if err != nil {
			slog.Warn("daemon: Settings refused, the old ones stay.", "error", err)
			continue
		}
		g.Reload(settings.Gateway)
	}
}
