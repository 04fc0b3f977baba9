// Package signals receives the signals that stop or reload the process, from the initialization of the program on. go-zero's
// core/proc catches SIGTERM in its own initialization, so that one that comes before the daemon asks for signals would be lost.
// Packages are initialized in the order of their import paths, as far as their imports allow (Go specification, "Program
// initialization"): this one imports the standard library only and precedes go-zero.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// maxPending is how many signals are kept until the daemon handles them.
const maxPending = 16

var received = make(chan os.Signal, maxPending)

func init() { signal.Notify(received, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP) }

// Received returns the channel of the signals SIGTERM, SIGINT and SIGHUP since the start of the process. It has one reader.
func Received() <-chan os.Signal { return received }
