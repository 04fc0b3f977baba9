package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// event is a line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testID names a test of a package.
type testID struct {
	Package string
	Test    string
}

// filter prints the outcome of each package when the package ends.
type filter struct {
	known    []*knownRed
	out      io.Writer
	packages map[string]*packageRun
	passing  map[*knownRed]bool
	red      map[*knownRed]bool
	passed   int
	failed   int
}

func newFilter(known []*knownRed, out io.Writer) *filter {
	return &filter{
		known:    known,
		out:      out,
		packages: make(map[string]*packageRun),
		passing:  make(map[*knownRed]bool),
		red:      make(map[*knownRed]bool),
	}
}

func (f *filter) read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			f.line(line)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (f *filter) line(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		fmt.Fprint(f.out, string(line)) // messages of the go command itself
		return
	}
	switch {
	case e.Action == "build-output":
		fmt.Fprint(f.out, e.Output)
	case e.Package == "":
		return
	case e.Test == "":
		f.packageEvent(e)
	default:
		f.run(e.Package).testEvent(e)
	}
}

func (f *filter) run(pkg string) *packageRun {
	if found, ok := f.packages[pkg]; ok {
		return found
	}
	created := newPackageRun(pkg)
	f.packages[pkg] = created
	return created
}

func (f *filter) packageEvent(e event) {
	p := f.run(e.Package)
	switch e.Action {
	case "output":
		p.packageOutput(e.Output)
	case "pass", "skip":
		p.ended = true
		fmt.Fprint(f.out, p.lastLine())
		f.countTests(p)
	case "fail":
		p.ended = true
		p.failUnended()
		f.packageFailed(p)
		f.countTests(p)
	}
}

func (f *filter) packageFailed(p *packageRun) {
	uncovered := 0
	for _, id := range p.failures() {
		entry := f.coveredBy(p, id)
		if entry == nil {
			uncovered++
			f.failed += p.countTopLevel(id)
			fmt.Fprint(f.out, p.output(id))
			continue
		}
		f.red[entry] = true
		fmt.Fprintf(f.out, "known red: %s %s\n", id.Package, id.Test)
		fmt.Fprint(f.out, p.output(id))
	}
	if uncovered == 0 && (p.crashed || len(p.failures()) == 0) {
		uncovered++
		f.failed++
	}
	if uncovered > 0 {
		fmt.Fprint(f.out, p.text.String())
		return
	}
	fmt.Fprintf(f.out, "ok  \t%s\t(known red tests passed over)\n", p.name)
}

// coveredBy returns the entry that names the failed test or a parent of it. A test
// that failed only through its subtests is covered when all of those are.
func (f *filter) coveredBy(p *packageRun, id testID) *knownRed {
	for _, entry := range f.known {
		if entry.covers(id) {
			return entry
		}
	}
	children := p.failedChildren(id)
	if len(children) == 0 || p.wroteItself(id) {
		return nil
	}
	var last *knownRed
	for _, child := range children {
		last = f.coveredBy(p, child)
		if last == nil {
			return nil
		}
	}
	return last
}

func (f *filter) countTests(p *packageRun) {
	for id, state := range p.tests {
		if state.passed > 0 && !strings.Contains(id.Test, "/") {
			f.passed += state.passed
		}
		for _, entry := range f.known {
			if state.passed > 0 && entry.inPackage(id.Package) && entry.Test == id.Test {
				f.passing[entry] = true
			}
		}
	}
}

// finish prints the closing lines and returns the exit code.
func (f *filter) finish() int {
	for name, p := range f.packages {
		if !p.ended {
			f.failed++
			fmt.Fprintf(f.out, "FAIL\t%s [did not end]\n", name)
		}
	}
	for _, entry := range f.known {
		f.report(entry)
	}
	fmt.Fprintf(f.out, "%d passed, %d failed\n", f.passed, f.failed)
	switch {
	case f.failed > 0:
		return exitFailed
	case len(f.red) > 0:
		return exitKnownRed
	}
	return exitPassed
}

func (f *filter) report(entry *knownRed) {
	switch {
	case f.red[entry]:
		fmt.Fprintf(f.out, "known red: %s %s: %s (%s; run: %s)\n",
			entry.Package, entry.Test, entry.Seen, entry.Issue, entry.Run)
	case f.passing[entry]:
		fmt.Fprintf(f.out, "warning: %s %s is listed as known red and passed\n", entry.Package, entry.Test)
	default:
		fmt.Fprintf(f.out, "warning: %s %s is listed as known red and did not run\n", entry.Package, entry.Test)
	}
}

var (
	crashLine   = regexp.MustCompile(`^(panic: |fatal error: |\*\*\* Test killed|WARNING: DATA RACE|SIG[A-Z]+: )`)
	ownTestLine = regexp.MustCompile(`^\s+\S+\.go:\d+: `)
)
