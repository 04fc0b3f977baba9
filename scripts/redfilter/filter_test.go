package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const listEntry = "test: a TestX\nrun: go test ./a -seed 1\nseen: a gap\nissue: late timer\n"

// events converts lines of the form "action test output" to JSON events of the package m/a. A test
// of "-" stands for the package itself.
func events(lines ...string) string {
	var out strings.Builder
	for _, line := range lines {
		parts := strings.SplitN(line, " ", 3)
		out.WriteString(`{"Action":"` + parts[0] + `","Package":"m/a"`)
		if len(parts) > 1 && parts[1] != "-" {
			out.WriteString(`,"Test":"` + parts[1] + `"`)
		}
		if len(parts) > 2 {
			out.WriteString(`,"Output":"` + parts[2] + `\n"`)
		}
		out.WriteString("}\n")
	}
	return out.String()
}

func runFilter(t *testing.T, list, input string) (int, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "list")
	require.NoError(t, os.WriteFile(file, []byte(list), 0o600))
	var out bytes.Buffer
	code := run(file, strings.NewReader(input), &out)
	return code, out.String()
}

func TestFilter(t *testing.T) {
	failX := []string{"run TestX", "output TestX --- FAIL: TestX", "fail TestX", "output - FAIL", "fail -"}
	passX := []string{"run TestX", "output TestX secret", "pass TestX", "output - PASS", "output - ok a 0.1s", "pass -"}
	sub := []string{"fail TestX/one", "fail TestX", "fail -"}
	subEntry := strings.Replace(listEntry, "TestX", "TestX/one", 1)
	cases := map[string]struct {
		list  string
		input []string
		code  int
		last  string
		holds string
	}{
		"pass":                    {"", passX, 0, "1 passed, 0 failed", "ok a 0.1s\n"},
		"fail":                    {"", failX, 1, "0 passed, 1 failed", "--- FAIL: TestX\n"},
		"known red":               {listEntry, failX, 3, "0 passed, 0 failed", "known red: a TestX: a gap"},
		"known red passes":        {listEntry, passX, 0, "1 passed, 0 failed", "warning: a TestX is listed as known red and passed"},
		"known red did not run":   {listEntry, []string{"pass -"}, 0, "0 passed, 0 failed", "did not run"},
		"other test fails too":    {listEntry, append([]string{"fail TestY"}, failX...), 1, "0 passed, 1 failed", "known red"},
		"longer name":             {listEntry, []string{"fail TestXY", "fail -"}, 1, "0 passed, 1 failed", ""},
		"package fails alone":     {listEntry, []string{"output - FAIL a [build failed]", "fail -"}, 1, "0 passed, 1 failed", "build failed"},
		"known red crashes":       {listEntry, append([]string{"output TestX panic: late"}, failX...), 1, "0 passed, 1 failed", ""},
		"subtest of known red":    {listEntry, sub, 3, "0 passed, 0 failed", ""},
		"known red subtest":       {subEntry, sub, 3, "0 passed, 0 failed", ""},
		"parent fails by itself":  {subEntry, append([]string{"output TestX     x_test.go:7: bad"}, sub...), 1, "0 passed, 1 failed", ""},
		"sibling subtest fails":   {subEntry, append([]string{"fail TestX/two"}, sub...), 1, "0 passed, 1 failed", ""},
		"known red does not end":  {listEntry, []string{"run TestX", "output TestX dump", "output - FAIL a 2s", "fail -"}, 1, "0 passed, 1 failed", "dump\n"},
		"known red skipped":       {listEntry, []string{"run TestX", "skip TestX", "pass -"}, 0, "0 passed, 0 failed", "did not run"},
		"package does not end":    {listEntry, []string{"run TestX"}, 1, "0 passed, 1 failed", "did not end"},
		"repeats count each time": {"", append([]string{"pass TestX"}, passX...), 0, "2 passed, 0 failed", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out := runFilter(t, c.list, events(c.input...))
			assert.Equal(t, c.code, code, out)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			assert.Equal(t, c.last, lines[len(lines)-1])
			assert.Contains(t, out, c.holds)
			assert.NotContains(t, out, "secret", "output of passed tests is not shown")
		})
	}
}

func TestListErrors(t *testing.T) {
	for _, list := range []string{
		"test: a TestX\n",
		strings.Replace(listEntry, "a TestX", "TestX", 1),
		listEntry + "why: never\n",
		"seen: only\n",
	} {
		code, out := runFilter(t, list, "")
		assert.Equal(t, exitBadInput, code, out)
	}
}
