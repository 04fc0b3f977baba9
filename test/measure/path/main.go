// Command path measures one daemon on the way of a request: added latency, memory of open
// streams, requests a second on one core, large bodies and long streams. It prints
// name=value lines.
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
	Bin     string        `help:"Folder of the programs." default:"bin"`
	Rate    int           `help:"Requests a second of the latency run." default:"200"`
	Length  time.Duration `help:"Length of the latency and of the throughput run." default:"10s"`
	Streams int           `help:"Streams open at once in the memory run." default:"1000"`
	Long    time.Duration `help:"Length of the long stream." default:"2m"`
	Breaks  int           `help:"Streams that break once in the resume run." default:"100"`
	Callers int           `help:"Callers at once in the throughput run." default:"64"`
}

// Sizes of the stand-ins.
const (
	key       = "key-small"
	fastModel = "fast" // no time between tokens
	slowModel = "slow"
	evenModel = "even" // for the pause at a resume
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
	p, err := startPath(f.Bin, 0)
	if err != nil {
		return err
	}
	defer p.Close()
	p.idleKB = p.rssKB()
	long := make(chan error, 1)
	go func() { long <- p.longStream(f.Long) }()
	for _, measure := range []func(flags) error{p.latency, p.pause, p.memory, p.largeBody, oneCore} {
		if err := measure(f); err != nil {
			return err
		}
	}
	return <-long
}

// oneCore measures the throughput of a daemon on one core.
func oneCore(f flags) error {
	p, err := startPath(f.Bin, 1)
	if err != nil {
		return err
	}
	defer p.Close()
	return p.throughput(f)
}

// path is a daemon before two engines.
type path struct {
	*cluster.Cluster
	fast, slow, even *cluster.Process
	idleKB           int
}

// startPath starts them; cores limits the daemon when it is not 0.
func startPath(bin string, cores int) (*path, error) {
	c, err := cluster.New(cluster.Options{BinDir: bin, LogOutput: io.Discard, Zones: []string{"z1"}})
	if err != nil {
		return nil, err
	}
	p := &path{Cluster: c}
	if err := p.start(cores); err != nil {
		c.Close()
		return nil, err
	}
	return p, nil
}

func (p *path) start(cores int) error {
	engines := []struct {
		process  **cluster.Process
		model    string
		interval time.Duration
	}{{&p.fast, fastModel, 0}, {&p.slow, slowModel, slowInterval}, {&p.even, evenModel, evenInterval}}
	for _, e := range engines {
		started, err := p.StartServer(e.model, "engine", "--model", e.model, "--slots", fmt.Sprint(slots), "--token-interval", e.interval.String())
		if err != nil {
			return err
		}
		*e.process = started
	}
	if err := p.startDaemon(cores); err != nil {
		return err
	}
	if _, err := p.Submit(p.ticket()); err != nil {
		return err
	}
	return p.AwaitReady(cluster.WaitTimeout)
}

func (p *path) startDaemon(cores int) error {
	if cores > 0 {
		// The daemon alone inherits the limit.
		if err := os.Setenv("GOMAXPROCS", fmt.Sprint(cores)); err != nil {
			return err
		}
		defer func() { _ = os.Unsetenv("GOMAXPROCS") }()
	}
	_, err := p.StartDaemon(0)
	return err
}

func (p *path) ticket() ticket.Ticket {
	t := ticket.Ticket{Number: 1, Author: "measure", Reason: "path"}
	t.Accounts = []ticket.Account{{ID: "small", Weight: 1, KeyHashes: []string{cluster.KeyHash(key)}, MaxQueued: slots}}
	for model, address := range map[string]string{fastModel: p.fast.Address, slowModel: p.slow.Address, evenModel: p.even.Address} {
		t.Services = append(t.Services, ticket.Service{ID: model, Kind: ticket.ServiceModel, Repeatable: true})
		t.Servers = append(t.Servers, ticket.Server{
			ID: model, Service: model, Address: address, Zone: "z1", Slots: slots, State: ticket.ServerJoined,
		})
	}
	return t
}
