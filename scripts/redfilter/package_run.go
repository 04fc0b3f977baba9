package main

import (
	"slices"
	"strings"
)

// packageRun collects the results and output of the tests of one package.
type packageRun struct {
	name       string
	tests      map[testID]*testRun
	startOrder []testID
	output     strings.Builder // output outside of tests
	lastOutput string
	crashed    bool // the test process crashed, so later tests may not have run
	finished   bool
}

// testRun collects the results and output of one test over all its repetitions (-count).
type testRun struct {
	output  strings.Builder
	passed  int
	failed  int
	skipped int
}

// finished reports whether the test has passed, failed or been skipped at least once.
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

// resultLine returns the last line of the package's output, which holds its result, such as "ok"
// or "no test files".
func (p *packageRun) resultLine() string { return p.lastOutput }

// failUnfinishedTests counts tests without a result as failed, for instance after a timeout.
func (p *packageRun) failUnfinishedTests() {
	for _, t := range p.tests {
		if !t.finished() {
			t.failed++
			p.crashed = true
		}
	}
}

func (p *packageRun) testOutput(id testID) string { return p.tests[id].output.String() }

// failures returns the failed tests in the order in which they started.
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

// hasOwnOutput reports whether the test itself, not a subtest, logged a message or error.
func (p *packageRun) hasOwnOutput(id testID) bool {
	for line := range strings.Lines(p.testOutput(id)) {
		if testLogLine.MatchString(line) {
			return true
		}
	}
	return false
}

// topLevelFailures returns the number of failures of a top-level test, or 0 for a subtest.
func (p *packageRun) topLevelFailures(id testID) int {
	if strings.Contains(id.Test, "/") {
		return 0
	}
	return p.tests[id].failed
}
