// Command members measures the resources that fleet membership consumes and the time until a
// failure is detected. It prints name=value lines.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type flags struct {
	Bin    string        `help:"Directory of the compiled programs." default:"bin"`
	Sizes  []int         `help:"Sizes of the idle fleets, in daemons." default:"3,7,21,50"`
	Settle time.Duration `help:"Time before an idle fleet is measured." default:"10s"`
	Window time.Duration `help:"Time over which an idle fleet is measured." default:"20s"`
	Trials int           `help:"Number of failures of each kind." default:"15"`
	Parts  []string      `help:"What to measure: idle, detect, full." default:"full,idle,detect"`
}

func main() {
	var f flags
	kong.Parse(&f)
	logs, err := os.CreateTemp("", "filbertrill-measure-*.log")
	if err == nil {
		fmt.Fprintln(os.Stderr, "logs:", logs.Name())
		err = run(f, logs)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "members:", err)
		os.Exit(1)
	}
}

func run(f flags, logs *os.File) error {
	for _, part := range f.Parts {
		var err error
		switch part {
		case "full":
			measureSimulated()
		case "idle":
			err = measureIdle(f, logs)
		case "detect":
			err = measureDetection(f, logs)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
