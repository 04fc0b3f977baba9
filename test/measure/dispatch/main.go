// Command dispatch compares policies of sharing capacity under the same loads, with real
// daemons and stand-in engines behind slow and lossy links. It prints name=value lines.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/load"
)

type flags struct {
	Bin      string        `help:"Directory of the compiled programs." default:"bin"`
	Length   time.Duration `help:"Length of each run." default:"12s"`
	Warm     time.Duration `help:"Warm-up time at the start of each run, excluded from the figures." default:"3s"`
	Loads    []string      `help:"Loads to run; all when empty."`
	Ways     []string      `help:"Policies to run; all when empty."`
	Servers  int           `help:"Number of engines; the two reference fleets have 12 and 9." default:"12"`
	Standby  int           `help:"Grants beyond the slots of each server." default:"0"`
	LogsFile string        `help:"File for the logs of the processes; discarded when empty." default:""`
}

// Sizes of the fleet.
const (
	daemons        = 7
	slotsPerServer = 4
	tokenInterval  = 20 * time.Millisecond
)

// Delay and faults of the links between data centres.
const (
	linkLatencyMS       = 5
	linkJitterMS        = 3
	linkLossProbability = 0.01
	retransmissionMS    = 200
)

// policy is a configuration of the daemons that determines how capacity is shared.
type policy struct {
	name string
	args []string
}

var policies = []policy{
	{"zone", []string{"--dispatch-scope", "zone", "--dispatch-order", "fair"}},
	{"region", []string{"--dispatch-scope", "region", "--dispatch-order", "fair"}},
	{"alone-fair", []string{"--dispatch-scope", "daemon", "--dispatch-order", "fair"}},
	{"alone-fifo", []string{"--dispatch-scope", "daemon", "--dispatch-order", "fifo"}},
}

func main() {
	var f flags
	kong.Parse(&f)
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	logs := io.Discard
	if f.LogsFile != "" {
		file, err := os.Create(f.LogsFile)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		logs = file
	}
	direct, err := directRate(f, logs)
	if err != nil {
		return err
	}
	fmt.Printf("direct.tokens_per_second=%.0f\n", direct)
	for _, spec := range loads() {
		if len(f.Loads) > 0 && !slices.Contains(f.Loads, spec.name) {
			continue
		}
		reportIdeal(f, spec)
		for _, p := range policies {
			if len(f.Ways) > 0 && !slices.Contains(f.Ways, p.name) {
				continue
			}
			if err := measure(f, spec, p, direct, logs); err != nil {
				return err
			}
		}
	}
	return nil
}

// reportIdeal prints the figures of an ideal dispatcher that knows every cost in advance and
// whose messages arrive without delay.
func reportIdeal(f flags, spec loadSpec) {
	outcomes := load.SimulateIdealDispatcher(spec.callers(daemons, f.Length), weights(), f.Servers*slotsPerServer, tokenInterval, f.Length)
	start := time.Unix(0, 0)
	report(spec.name+".ideal", outcomes, start.Add(f.Warm), start.Add(f.Length), 0)
}

// measure runs a load on a new fleet and prints its figures. The utilisation is relative to
// direct, the token rate of directRate.
func measure(f flags, spec loadSpec, p policy, direct float64, logs io.Writer) error {
	fleet, err := newFleet(f, p, logs)
	if err != nil {
		return err
	}
	defer fleet.close()
	ctx, cancel := context.WithTimeout(context.Background(), f.Length)
	defer cancel()
	start := time.Now()
	before := make(chan int64, 1)
	time.AfterFunc(f.Warm, func() { before <- fleet.meter.Bytes() })
	outcomes := load.Run(ctx, spec.callers(daemons, f.Length), fleet.target())
	name := spec.name + "." + p.name
	report(name, outcomes, start.Add(f.Warm), start.Add(f.Length), direct)
	seconds := (f.Length - f.Warm).Seconds()
	fmt.Printf("%s.control_bytes_per_second=%.0f\n", name, float64(fleet.meter.Bytes()-<-before)/seconds)
	return nil
}

func report(name string, outcomes []*load.Outcome, from, to time.Time, direct float64) {
	largest := load.LargestCost(outcomes)
	byStart := load.FairnessGap(outcomes, weights(), load.CountAtStart, from, to)
	delivered := load.FairnessGap(outcomes, weights(), load.CountOnDelivery, from, to)
	fmt.Printf("%s.gap_start=%.2f\n", name, byStart/largest)
	fmt.Printf("%s.gap_delivered=%.2f\n", name, delivered/largest)
	if direct > 0 {
		rate := float64(load.CountTokens(outcomes, from, to)) / to.Sub(from).Seconds()
		fmt.Printf("%s.utilisation=%.3f\n", name, rate/direct)
	}
	reportWaits(name+".small", outcomes, func(a string) bool { return !isLarge(a) }, from, to)
	reportWaits(name+".large", outcomes, isLarge, from, to)
	reportFailures(name, outcomes, to)
}

func reportWaits(name string, outcomes []*load.Outcome, include func(string) bool, from, to time.Time) {
	waits := load.TimesToFirstToken(outcomes, include, from, to)
	fmt.Printf("%s.wait_p50_ms=%d\n", name, load.Quantile(waits, 0.5).Milliseconds())
	fmt.Printf("%s.wait_p99_ms=%d\n", name, load.Quantile(waits, 0.99).Milliseconds())
}

// reportFailures prints the numbers of refused requests, and of answers that were interrupted
// before the end of the run.
func reportFailures(name string, outcomes []*load.Outcome, to time.Time) {
	refused, interrupted := 0, 0
	for _, o := range outcomes {
		switch {
		case o.ResultCode != "":
			refused++
		case o.Err != nil && o.EndedAt.Before(to):
			interrupted++
		}
	}
	fmt.Printf("%s.refused=%d\n%s.cut=%d\n", name, refused, name, interrupted)
}

// directRate returns the tokens per second of the same engines when callers saturate them
// directly, without daemons.
func directRate(f flags, logs io.Writer) (float64, error) {
	c, err := cluster.New(cluster.Options{BinDir: f.Bin, LogOutput: logs, Zones: []string{"z1"}})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	servers, err := startEngines(f, c)
	if err != nil {
		return 0, err
	}
	target := load.Target{Model: model}
	for _, s := range servers {
		target.Addresses = append(target.Addresses, s.Address)
	}
	callers := evenLoad(len(servers), f.Length)
	for i := range callers {
		callers[i].Daemon = i
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Length)
	defer cancel()
	start := time.Now()
	outcomes := load.Run(ctx, callers, target)
	tokens := load.CountTokens(outcomes, start.Add(f.Warm), start.Add(f.Length))
	return float64(tokens) / (f.Length - f.Warm).Seconds(), nil
}
