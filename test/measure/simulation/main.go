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
	known := make([]string, 0, len(simulation.Loads()))
	for _, l := range simulation.Loads() {
		known = append(known, l.Name)
		if f.List {
			fmt.Printf("%-12s %s\n", l.Name, l.What)
		}
	}
	if f.List {
		return nil
	}
	for _, name := range f.Load {
		if !slices.Contains(known, name) {
			return errors.Newf("no load %q; there are %v", name, known)
		}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tway\tasked\tin aim\tlate\trefused\tfailed\tworst account\tworst 2 s\tread again\t")
	for _, load := range simulation.Loads() {
		if len(f.Load) > 0 && !slices.Contains(f.Load, load.Name) {
			continue
		}
		if err := measure(f, load, table); err != nil {
			return err
		}
	}
	return errors.Wrap(table.Flush(), "print the table")
}

func measure(f flags, load simulation.Load, table *tabwriter.Writer) error {
	lines := make(map[simulation.Way]*simulation.Play)
	figures := simulation.Users()
	if f.Roomy {
		figures = simulation.Roomy()
	}
	for _, way := range simulation.Ways() {
		p := simulation.New(simulation.Options{Daemons: f.Daemons, Engines: f.Engines, Figures: figures, Way: way, Seed: f.Seed, Returns: f.Returns})
		load.Put(p, f.Length)
		p.Run(f.Length)
		lines[way] = p
		t := p.Total()
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%dk\t\n", load.Name, way, t.Asked,
			share(t.InAim, t.Asked), share(t.Late, t.Asked), share(t.Refused, t.Asked), share(t.Failed, t.Asked),
			worstAccount(p), worstSeconds(p), p.ReadAgain/1000)
	}
	if f.Plots == "" {
		return nil
	}
	return draw(filepath.Join(f.Plots, load.Name+".svg"), load, lines)
}

// worstAccount returns the least share of an account's requests that were in aim.
func worstAccount(p *simulation.Play) float64 {
	worst := 1.0
	for _, t := range p.Outcome {
		worst = min(worst, share(t.InAim, t.Asked))
	}
	return worst
}

// worstSeconds returns the least share in aim over two seconds in a row.
func worstSeconds(p *simulation.Play) float64 {
	worst := 1.0
	for i := 1; i < len(p.Seconds); i++ {
		both := p.Seconds[i-1]
		both.Add(p.Seconds[i])
		worst = min(worst, share(both.InAim, both.Asked))
	}
	return worst
}

func draw(path string, load simulation.Load, lines map[simulation.Way]*simulation.Play) error {
	chart := plot.New()
	chart.Title.Text = load.Name + ": " + load.What
	chart.X.Label.Text = "second of the play"
	chart.Y.Label.Text = "share of requests in aim"
	chart.Y.Min, chart.Y.Max = 0, 1
	chart.Legend.Top = false
	for i, way := range simulation.Ways() {
		points := make(plotter.XYs, 0, len(lines[way].Seconds))
		for second, t := range lines[way].Seconds {
			points = append(points, plotter.XY{X: float64(second), Y: share(t.InAim, t.Asked)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "draw %s", load.Name)
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(string(way), line)
	}
	return errors.Wrapf(chart.Save(18*vg.Centimeter, 8*vg.Centimeter, path), "write %s", path)
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
