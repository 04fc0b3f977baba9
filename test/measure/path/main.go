// Command path measures the request path through one daemon: added latency, memory of open streams,
// requests per second on one core, large bodies and long streams. It prints name=value lines.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

type flags struct {
	Bin     string        `help:"Directory of the compiled programs." default:"bin"`
	Rate    int           `help:"Requests per second in the latency run." default:"200"`
	Length  time.Duration `help:"Duration of the latency and throughput runs." default:"10s"`
	Streams int           `help:"Concurrent streams in the memory run." default:"1000"`
	Long    time.Duration `help:"Duration of the long stream." default:"2m"`
	Breaks  int           `help:"Streams in the resume run that are interrupted once." default:"100"`
	Callers int           `help:"Concurrent callers in the throughput run." default:"64"`
}

// Settings of the stand-in engines.
const (
	apiKey    = "key-small"
	fastModel = "fast" // no time between tokens
	slowModel = "slow"
	evenModel = "even" // for the effect of a resume on the token gap
	slots     = 4096
	// slowInterval is the time between two tokens of the slow model.
	slowInterval = 500 * time.Millisecond
	// evenInterval is the time between two tokens of the even model.
	evenInterval = 10 * time.Millisecond
)

func main() {
	var f flags
	kong.Parse(&f)
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	tb, err := startTestbed(f.Bin, 0)
	if err != nil {
		return err
	}
	defer tb.Close()
	tb.idleRSSKB = tb.rssKB()
	longStreamResult := make(chan error, 1)
	go func() { longStreamResult <- tb.measureLongStream(f.Long) }()
	for _, measure := range []func(flags) error{tb.measureLatency, tb.measureResumeGap, tb.measureMemory, tb.measureLargeBody, measureOneCore} {
		if err := measure(f); err != nil {
			return err
		}
	}
	return <-longStreamResult
}

// measureOneCore measures the throughput of a daemon with GOMAXPROCS=1.
func measureOneCore(f flags) error {
	tb, err := startTestbed(f.Bin, 1)
	if err != nil {
		return err
	}
	defer tb.Close()
	return tb.measureThroughput(f)
}

// testbed is a cluster of one daemon and three stand-in engines.
type testbed struct {
	*cluster.Cluster
	fast, slow, even *cluster.Process
	idleRSSKB        int
}

// startTestbed starts the daemon and its engines. cores is GOMAXPROCS of the daemon, or 0 for the default.
func startTestbed(bin string, cores int) (*testbed, error) {
	c, err := cluster.New(cluster.Options{BinDir: bin, LogOutput: io.Discard, Zones: []string{"z1"}})
	if err != nil {
		return nil, err
	}
	tb := &testbed{Cluster: c}
	if err := tb.start(cores); err != nil {
		c.Close()
		return nil, err
	}
	return tb, nil
}

func (tb *testbed) start(cores int) error {
	engines := []struct {
		process  **cluster.Process
		model    string
		interval time.Duration
	}{{&tb.fast, fastModel, 0}, {&tb.slow, slowModel, slowInterval}, {&tb.even, evenModel, evenInterval}}
	for _, e := range engines {
		started, err := tb.StartServer(e.model, "engine", "--model", e.model, "--slots", fmt.Sprint(slots), "--token-interval", e.interval.String())
		if err != nil {
			return err
		}
		*e.process = started
	}
	if err := tb.startDaemon(cores); err != nil {
		return err
	}
	if _, err := tb.Submit(tb.ticket()); err != nil {
		return err
	}
	return tb.AwaitReady(cluster.WaitTimeout)
}

func (tb *testbed) startDaemon(cores int) error {
	if cores > 0 {
		// Only the daemon inherits the variable, because the engines are already running.
		if err := os.Setenv("GOMAXPROCS", fmt.Sprint(cores)); err != nil {
			return err
		}
		defer func() { _ = os.Unsetenv("GOMAXPROCS") }()
	}
	_, err := tb.StartDaemon(0)
	return err
}

func (tb *testbed) ticket() ticket.Ticket {
	t := ticket.Ticket{Number: 1, Author: "measure", Reason: "path"}
	t.Accounts = []ticket.Account{{ID: "small", Weight: 1, KeyHashes: []string{cluster.KeyHash(apiKey)}, MaxQueued: slots}}
	for model, address := range map[string]string{fastModel: tb.fast.Address, slowModel: tb.slow.Address, evenModel: tb.even.Address} {
		t.Services = append(t.Services, ticket.Service{ID: model, Kind: ticket.ServiceModel, Repeatable: true})
		t.Servers = append(t.Servers, ticket.Server{
			ID: model, Service: model, Address: address, Zone: "z1", Slots: slots, State: ticket.ServerJoined,
		})
	}
	return t
}
