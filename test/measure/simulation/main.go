// Command simulation runs loads on a model of engines in virtual time, with the scheduler of the
// product and with simpler policies as baselines. It prints a table of the results and plots the
// share of requests on time in each second.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/filbertrill/filbertrill/test/simulation"
)

type flags struct {
	Load    []string      `help:"Loads to run; all by default."`
	Seed    uint64        `help:"Seed of the requests." default:"1"`
	Length  time.Duration `help:"Length of a simulation." default:"24s"`
	Daemons int           `help:"Number of daemons." default:"7"`
	Engines int           `help:"Number of engines. The rates of the loads are for 10." default:"10"`
	Roomy   bool          `help:"Use engines with 64 slots and faster prefill instead of the benchmarked ones with 16 slots."`
	Returns int           `help:"Retries of a refused request." default:"1"`
	Plots   string        `help:"Directory for a plot of each load (SVG); no plots if empty." type:"path"`
	List    bool          `help:"List the loads."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Runs loads on a model of engines in virtual time."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	if f.Daemons < 1 || f.Engines < 4 {
		return errors.New("a simulation needs at least one daemon and four engines: some loads remove three engines")
	}
	names := make([]string, 0, len(simulation.Loads()))
	for _, l := range simulation.Loads() {
		names = append(names, l.Name)
		if f.List {
			fmt.Printf("%-12s %s\n", l.Name, l.Description)
		}
	}
	if f.List {
		return nil
	}
	for _, name := range f.Load {
		if !slices.Contains(names, name) {
			return errors.Newf("unknown load %q; the loads are %v", name, names)
		}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tpolicy\trequests\ton time\tlate\trefused\tfailed\tlowest account\tlowest 2 s\trecomputed\t")
	for _, load := range simulation.Loads() {
		if len(f.Load) > 0 && !slices.Contains(f.Load, load.Name) {
			continue
		}
		if err := runLoad(f, load, table); err != nil {
			return err
		}
	}
	return errors.Wrap(table.Flush(), "print the table")
}

// runLoad runs the load with each policy, prints a line for each and draws the chart.
func runLoad(f flags, load simulation.Load, table *tabwriter.Writer) error {
	byPolicy := make(map[simulation.Policy]*simulation.Simulation)
	spec := simulation.BenchmarkedEngine()
	if f.Roomy {
		spec = simulation.ManySlotEngine()
	}
	for _, policy := range simulation.Policies() {
		s := simulation.New(simulation.Options{Daemons: f.Daemons, Engines: f.Engines, EngineSpec: spec, Policy: policy, Seed: f.Seed, MaxRetries: f.Returns})
		load.Schedule(s, f.Length)
		s.Run(f.Length)
		byPolicy[policy] = s
		total := s.Total()
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%dk\t\n", load.Name, policy, total.Requests,
			ratio(total.OnTime, total.Requests), ratio(total.Late, total.Requests), ratio(total.Refused, total.Requests), ratio(total.Failed, total.Requests),
			minAccountOnTimeRatio(s), minTwoSecondOnTimeRatio(s), s.RecomputedTokens/1000)
	}
	if f.Plots == "" {
		return nil
	}
	return drawChart(filepath.Join(f.Plots, load.Name+".svg"), load, byPolicy)
}

// minAccountOnTimeRatio returns the lowest share of requests on time of any account.
func minAccountOnTimeRatio(s *simulation.Simulation) float64 {
	lowest := 1.0
	for _, results := range s.ByAccount {
		lowest = min(lowest, ratio(results.OnTime, results.Requests))
	}
	return lowest
}

// minTwoSecondOnTimeRatio returns the lowest share of requests on time in two consecutive seconds.
func minTwoSecondOnTimeRatio(s *simulation.Simulation) float64 {
	lowest := 1.0
	for i := 1; i < len(s.BySecond); i++ {
		both := s.BySecond[i-1]
		both.Add(s.BySecond[i])
		lowest = min(lowest, ratio(both.OnTime, both.Requests))
	}
	return lowest
}

func drawChart(path string, load simulation.Load, byPolicy map[simulation.Policy]*simulation.Simulation) error {
	chart := plot.New()
	chart.Title.Text = load.Name + ": " + load.Description
	chart.X.Label.Text = "second of the simulation"
	chart.Y.Label.Text = "share of requests on time"
	chart.Y.Min, chart.Y.Max = 0, 1
	chart.Legend.Top = false
	for i, policy := range simulation.Policies() {
		points := make(plotter.XYs, 0, len(byPolicy[policy].BySecond))
		for second, results := range byPolicy[policy].BySecond {
			points = append(points, plotter.XY{X: float64(second), Y: ratio(results.OnTime, results.Requests)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "draw %s", load.Name)
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(string(policy), line)
	}
	return errors.Wrapf(chart.Save(18*vg.Centimeter, 8*vg.Centimeter, path), "write %s", path)
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
