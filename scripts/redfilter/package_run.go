package main

import (
	"slices"
	"strings"
)

// packageRun is what is known of the tests of one package.
type packageRun struct {
	name       string
	tests      map[testID]*testRun
	startOrder []testID
	output     strings.Builder // output that belongs to no test
	lastOutput string
	crashed    bool // the process died, so that later tests may not have run
	finished   bool
}

// testRun is what is known of one test, over all its repeats.
type testRun struct {
	output  strings.Builder
	passed  int
	failed  int
	skipped int
}

// ended reports whether the test came to an end.
func (t *testRun) finished() bool { return t.passed+t.failed+t.skipped > 0 }

func newPackageRun(name string) *packageRun {
	return &packageRun{name: name, tests: make(map[testID]*testRun)}
}

func (p *packageRun) handleTestEvent(e event) {
	id := testID{Package: e.Package, Test: e.Test}
	t, ok := p.tests[id]
	if !ok {
		t = &testRun{}
		p.tests[id] = t
		p.startOrder = append(p.startOrder, id)
	}
	switch e.Action {
	case "output":
		p.detectCrash(e.Output)
		if !strings.HasPrefix(e.Output, "=== ") {
			t.output.WriteString(e.Output)
		}
	case "pass":
		t.passed++
	case "fail":
		t.failed++
	case "skip":
		t.skipped++
	}
}

func (p *packageRun) addPackageOutput(line string) {
	p.detectCrash(line)
	p.output.WriteString(line)
	p.lastOutput = line
}

func (p *packageRun) detectCrash(line string) {
	if crashOutput.MatchString(line) {
		p.crashed = true
	}
}

// lastLine returns the line that closes the package, as "ok" or "no test files".
func (p *packageRun) resultLine() string { return p.lastOutput }

// failUnended counts the tests that never came to an end as failed, as after a timeout.
func (p *packageRun) failUnfinishedTests() {
	for _, t := range p.tests {
		if !t.finished() {
			t.failed++
			p.crashed = true
		}
	}
}

func (p *packageRun) testOutput(id testID) string { return p.tests[id].output.String() }

// failures returns the failed tests in the order in which they began.
func (p *packageRun) failures() []testID {
	return slices.DeleteFunc(slices.Clone(p.startOrder), func(id testID) bool {
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
func (p *packageRun) hasOwnOutput(id testID) bool {
	for line := range strings.Lines(p.testOutput(id)) {
		if testLogLine.MatchString(line) {
			return true
		}
	}
	return false
}

// countTopLevel returns the failures of a test that is no subtest, else 0.
func (p *packageRun) topLevelFailures(id testID) int {
	if strings.Contains(id.Test, "/") {
		return 0
	}
	return p.tests[id].failed
}
