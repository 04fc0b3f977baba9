// Command redfilter reads the output of "go test -json" on standard input and prints the results
// as "go test" does. It ignores failures of tests in the list of known red tests and fails on any
// other.
//
// It exits with 0 if every test passed, 3 if only known red tests failed, 1 on any other failure,
// and 2 if the list or the input cannot be read.
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
	exitBadInput = 2
	exitKnownRed = 3
)

func main() {
	listPath := flag.String("list", "KNOWN-RED.txt", "file that lists the known red tests")
	flag.Parse()
	os.Exit(run(*listPath, os.Stdin, os.Stdout))
}

func run(listPath string, in io.Reader, out io.Writer) int {
	file, err := os.Open(listPath)
	if err != nil {
		fmt.Fprintln(out, "redfilter:", err)
		return exitBadInput
	}
	defer file.Close()
	known, err := parseKnownRed(file)
	if err != nil {
		fmt.Fprintf(out, "redfilter: %s: %v\n", listPath, err)
		return exitBadInput
	}
	f := newFilter(known, out)
	if err := f.readEvents(in); err != nil {
		fmt.Fprintln(out, "redfilter:", err)
		return exitBadInput
	}
	return f.printSummary()
}
