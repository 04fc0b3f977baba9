package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// event is a line of the output of "go test -json", see "go doc test2json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testID identifies a test or subtest of a package.
type testID struct {
	Package string
	Test    string
}

// filter reads test events, prints the result of each package when it ends, and separates the
// failures of known red tests from others.
type filter struct {
	known         []*knownRed
	out           io.Writer
	packages      map[string]*packageRun
	passedEntries map[*knownRed]bool
	failedEntries map[*knownRed]bool
	passed        int
	failed        int
}

func newFilter(known []*knownRed, out io.Writer) *filter {
	return &filter{
		known:         known,
		out:           out,
		packages:      make(map[string]*packageRun),
		passedEntries: make(map[*knownRed]bool),
		failedEntries: make(map[*knownRed]bool),
	}
}

func (f *filter) readEvents(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			f.handleLine(line)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (f *filter) handleLine(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		fmt.Fprint(f.out, string(line)) // a message of the go command itself
		return
	}
	switch {
	case e.Action == "build-output":
		fmt.Fprint(f.out, e.Output)
	case e.Package == "":
		return
	case e.Test == "":
		f.handlePackageEvent(e)
	default:
		f.packageRun(e.Package).handleTestEvent(e)
	}
}

func (f *filter) packageRun(pkg string) *packageRun {
	if found, ok := f.packages[pkg]; ok {
		return found
	}
	created := newPackageRun(pkg)
	f.packages[pkg] = created
	return created
}

func (f *filter) handlePackageEvent(e event) {
	p := f.packageRun(e.Package)
	switch e.Action {
	case "output":
		p.addPackageOutput(e.Output)
	case "pass", "skip":
		p.finished = true
		fmt.Fprint(f.out, p.resultLine())
		f.countTests(p)
	case "fail":
		p.finished = true
		p.failUnfinishedTests()
		f.handlePackageFailure(p)
		f.countTests(p)
	}
}

func (f *filter) handlePackageFailure(p *packageRun) {
	unlisted := 0
	for _, id := range p.failures() {
		entry := f.matchingEntry(p, id)
		if entry == nil {
			unlisted++
			f.failed += p.topLevelFailures(id)
			fmt.Fprint(f.out, p.testOutput(id))
			continue
		}
		f.failedEntries[entry] = true
		fmt.Fprintf(f.out, "known red: %s %s\n", id.Package, id.Test)
		fmt.Fprint(f.out, p.testOutput(id))
	}
	if unlisted == 0 && (p.crashed || len(p.failures()) == 0) {
		unlisted++
		f.failed++
	}
	if unlisted > 0 {
		fmt.Fprint(f.out, p.output.String())
		return
	}
	fmt.Fprintf(f.out, "ok  \t%s\t(known red tests ignored)\n", p.name)
}

// matchingEntry returns the list entry of the failed test or of one of its parents, or nil. A test
// that failed only through its subtests matches if all of its failed subtests do.
func (f *filter) matchingEntry(p *packageRun, id testID) *knownRed {
	for _, entry := range f.known {
		if entry.matches(id) {
			return entry
		}
	}
	children := p.failedChildren(id)
	if len(children) == 0 || p.hasOwnOutput(id) {
		return nil
	}
	var entry *knownRed
	for _, child := range children {
		entry = f.matchingEntry(p, child)
		if entry == nil {
			return nil
		}
	}
	return entry
}

func (f *filter) countTests(p *packageRun) {
	for id, state := range p.tests {
		if state.passed > 0 && !strings.Contains(id.Test, "/") {
			f.passed += state.passed
		}
		for _, entry := range f.known {
			if state.passed > 0 && entry.matchesPackage(id.Package) && entry.Test == id.Test {
				f.passedEntries[entry] = true
			}
		}
	}
}

// printSummary prints the unfinished packages, the list entries and the totals, and returns the
// exit code.
func (f *filter) printSummary() int {
	for name, p := range f.packages {
		if !p.finished {
			f.failed++
			fmt.Fprintf(f.out, "FAIL\t%s [did not end]\n", name)
		}
	}
	for _, entry := range f.known {
		f.printEntry(entry)
	}
	fmt.Fprintf(f.out, "%d passed, %d failed\n", f.passed, f.failed)
	switch {
	case f.failed > 0:
		return exitFailed
	case len(f.failedEntries) > 0:
		return exitKnownRed
	}
	return exitPassed
}

func (f *filter) printEntry(entry *knownRed) {
	switch {
	case f.failedEntries[entry]:
		fmt.Fprintf(f.out, "known red: %s %s: %s (%s; run: %s)\n",
			entry.Package, entry.Test, entry.Seen, entry.Issue, entry.Run)
	case f.passedEntries[entry]:
		fmt.Fprintf(f.out, "warning: %s %s is listed as known red and passed\n", entry.Package, entry.Test)
	default:
		fmt.Fprintf(f.out, "warning: %s %s is listed as known red and did not run\n", entry.Package, entry.Test)
	}
}

var (
	crashOutput = regexp.MustCompile(`^(panic: |fatal error: |\*\*\* Test killed|WARNING: DATA RACE|SIG[A-Z]+: )`)
	testLogLine = regexp.MustCompile(`^\s+\S+\.go:\d+: `)
)
