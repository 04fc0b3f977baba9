// Command filbertrillctl is the operator tool for the filbertrill router fleet.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/filbertrill/filbertrill/internal/ctl"
	"github.com/filbertrill/filbertrill/internal/peer"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// version is set at link time.
var version = "dev"

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args[1:], ctl.Options{
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		NewDialer: newDialer,
		Version:   version,
	})
}

// newDialer returns a Dialer that authenticates with the shared secret.
func newDialer(secret string) ctl.Dialer {
	return func(ctx context.Context, address string) (pb.DRPCOperatorClient, io.Closer, error) {
		return peer.DialOperator(ctx, address, secret)
	}
}
