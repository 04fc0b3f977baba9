// Command redfilter reads the output of "go test -json" on its standard input and
// prints what "go test" prints. It passes over the failures that the list of known
// red tests names, and fails on any other.
//
// It exits with 0 when every test passed, 3 when only known red tests failed, 1 on
// any other failure, and 2 when the list or the input can't be read.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

const (
	exitPassed   = 0
	exitFailed   = 1
	exitUnread   = 2
	exitKnownRed = 3
)

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file with the known red tests")
	flag.Parse()
	os.Exit(run(*list, os.Stdin, os.Stdout))
}

func run(list string, in io.Reader, out io.Writer) int {
	file, err := os.Open(list)
	if err != nil {
		fmt.Fprintln(out, "redfilter:", err)
		return exitUnread
	}
	defer file.Close()
	known, err := parseKnown(file)
	if err != nil {
		fmt.Fprintf(out, "redfilter: %s: %v\n", list, err)
		return exitUnread
	}
	f := newFilter(known, out)
	if err := f.read(in); err != nil {
		fmt.Fprintln(out, "redfilter:", err)
		return exitUnread
	}
	return f.finish()
}
