package main

import (
	"slices"
	"strings"
)

// packageRun is what is known of the tests of one package.
type packageRun struct {
	name    string
	tests   map[testID]*testRun
	order   []testID
	text    strings.Builder // output that belongs to no test
	last    string
	crashed bool // the process died, so that later tests may not have run
	ended   bool
}

// testRun is what is known of one test, over all its repeats.
type testRun struct {
	text    strings.Builder
	passed  int
	failed  int
	skipped int
}

// ended reports whether the test came to an end.
func (t *testRun) ended() bool { return t.passed+t.failed+t.skipped > 0 }

func newPackageRun(name string) *packageRun {
	return &packageRun{name: name, tests: make(map[testID]*testRun)}
}

func (p *packageRun) testEvent(e event) {
	id := testID{Package: e.Package, Test: e.Test}
	t, ok := p.tests[id]
	if !ok {
		t = &testRun{}
		p.tests[id] = t
		p.order = append(p.order, id)
	}
	switch e.Action {
	case "output":
		p.noteCrash(e.Output)
		if !strings.HasPrefix(e.Output, "=== ") {
			t.text.WriteString(e.Output)
		}
	case "pass":
		t.passed++
	case "fail":
		t.failed++
	case "skip":
		t.skipped++
	}
}

func (p *packageRun) packageOutput(line string) {
	p.noteCrash(line)
	p.text.WriteString(line)
	p.last = line
}

func (p *packageRun) noteCrash(line string) {
	if crashLine.MatchString(line) {
		p.crashed = true
	}
}

// lastLine returns the line that closes the package, as "ok" or "no test files".
func (p *packageRun) lastLine() string { return p.last }

// failUnended counts the tests that never came to an end as failed, as after a timeout.
func (p *packageRun) failUnended() {
	for _, t := range p.tests {
		if !t.ended() {
			t.failed++
			p.crashed = true
		}
	}
}

func (p *packageRun) output(id testID) string { return p.tests[id].text.String() }

// failures returns the failed tests in the order in which they began.
func (p *packageRun) failures() []testID {
	return slices.DeleteFunc(slices.Clone(p.order), func(id testID) bool {
		return p.tests[id].failed == 0
	})
}

func (p *packageRun) failedChildren(id testID) []testID {
	return slices.DeleteFunc(p.failures(), func(child testID) bool {
		rest, ok := strings.CutPrefix(child.Test, id.Test+"/")
		return !ok || strings.Contains(rest, "/")
	})
}

// wroteItself reports whether the test logged or failed by a line of its own.
func (p *packageRun) wroteItself(id testID) bool {
	for line := range strings.Lines(p.output(id)) {
		if ownTestLine.MatchString(line) {
			return true
		}
	}
	return false
}

// countTopLevel returns the failures of a test that is no subtest, else 0.
func (p *packageRun) countTopLevel(id testID) int {
	if strings.Contains(id.Test, "/") {
		return 0
	}
	return p.tests[id].failed
}
