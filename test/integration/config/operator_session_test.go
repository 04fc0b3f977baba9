package config

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// masks replace output that differs from run to run.
var masks = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\b(\d+(\.\d+)?m?s)\b`), "AGE"},
	{regexp.MustCompile(`(?m) +$`), ""},
	// Offsets differ because state records are appended between those of tickets.
	{regexp.MustCompile(`(?m)^(offset +)\d+`), "${1}OFFSET"},
	{regexp.MustCompile(`(?m)^(\d+ +)\d+ +(in-force|rejected)`), "${1}OFFSET  ${2}"},
	{regexp.MustCompile(`(the log may hold the ticket): .*`), "${1}: CAUSE"},
	{regexp.MustCompile(`(answered by +)d\d`), "${1}DAEMON"},
}

// TestOperatorSessions runs the scripts in testdata/script against a fleet. In a script,
// "ctl EXIT DAEMON ARGS" runs filbertrillctl against d1, d2, d3 or all, checks its exit code
// and writes its output to the file out; "log MODE" sets the fault mode of the log.
func TestOperatorSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/script/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts in testdata/script", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			f := startFleet(t, cluster.Options{})
			f.addEngineAndSubmit()
			testscript.Run(t, testscript.Params{
				Files:         []string{file},
				UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
				Cmds: map[string]func(*testscript.TestScript, bool, []string){
					"ctl": f.runCtl,
					"log": f.setLogMode,
				},
			})
		})
	}
}

func (f *fleet) runCtl(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	flags := append([]string{"--secret", cluster.Secret}, args[2:]...)
	for i, d := range f.Daemons {
		if args[1] == "all" || args[1] == "d"+strconv.Itoa(i+1) {
			flags = append(flags, "--daemon", d.Field("peers"))
		}
	}
	cmd := exec.Command(filepath.Join(f.BinDir(), "filbertrillctl"), flags...)
	cmd.Dir = ts.Getenv("WORK")
	out, _ := cmd.CombinedOutput()
	text := string(out)
	for _, mask := range masks {
		text = mask.pattern.ReplaceAllString(text, mask.with)
	}
	ts.Check(os.WriteFile(ts.MkAbs("out"), []byte(text), 0o600))
	if exit := cmd.ProcessState.ExitCode(); exit != want {
		ts.Fatalf("exit code %d, want %d:\n%s", exit, want, text)
	}
}

func (f *fleet) setLogMode(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(cluster.PostJSON("http://"+f.LogService.Address+"/admin/faults", `{"mode":"`+args[0]+`"}`))
}
