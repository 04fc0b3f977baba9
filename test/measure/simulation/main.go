// Command plays plays loads on the model of engines with the decision code of the product and
// with simpler ways beside it. It prints what callers get, and draws it by second.
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
	Load    []string      `help:"Loads to play; all when none is named."`
	Seed    uint64        `help:"Seed of the requests." default:"1"`
	Length  time.Duration `help:"Length of a play." default:"24s"`
	Daemons int           `help:"Daemons." default:"7"`
	Engines int           `help:"Engines. The rates of the loads are for 10." default:"10"`
	Roomy   bool          `help:"Engines with 64 places that read faster, in place of the users' with 16."`
	Returns int           `help:"How often a refused caller comes back." default:"1"`
	Plots   string        `help:"Folder for a plot of each load (SVG); none when empty." type:"path"`
	List    bool          `help:"List the loads."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Plays loads on a model of engines, in virtual time."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	if f.Daemons < 1 || f.Engines < 4 {
		return errors.New("a play needs a daemon and four engines, as some loads take three away")
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
			return errors.Newf("no load %q; there are %v", name, names)
		}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tway\tasked\tin aim\tlate\trefused\tfailed\tworst account\tworst 2 s\tread again\t")
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
			lowestAccountRatio(s), lowestTwoSecondRatio(s), s.RereadTokens/1000)
	}
	if f.Plots == "" {
		return nil
	}
	return drawChart(filepath.Join(f.Plots, load.Name+".svg"), load, byPolicy)
}

// worstAccount returns the least share of an account's requests that were in aim.
func lowestAccountRatio(s *simulation.Simulation) float64 {
	lowest := 1.0
	for _, results := range s.ByAccount {
		lowest = min(lowest, ratio(results.OnTime, results.Requests))
	}
	return lowest
}

// worstSeconds returns the least share in aim over two seconds in a row.
func lowestTwoSecondRatio(s *simulation.Simulation) float64 {
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
	chart.X.Label.Text = "second of the play"
	chart.Y.Label.Text = "share of requests in aim"
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
