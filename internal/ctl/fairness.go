package ctl

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/filbertrill/filbertrill/internal/fairness"
)

// fairnessCommand shows how near accounts came to receiving less than half of what others did, from the logs of daemons.
type fairnessCommand struct {
	Files []string `arg:"" name:"file" help:"Logs of the daemons in text format, each of one or several daemons."`
}

// fairnessGap is a gap in the output.
type fairnessGap struct {
	From         int64   `json:"from"` // Unix time in seconds
	Account      string  `json:"account"`
	Asked        float64 `json:"askedTokens"`
	Received     float64 `json:"receivedTokens"`
	BestServed   string  `json:"bestServed"`
	BestReceived float64 `json:"bestReceivedTokens"`
	Share        float64 `json:"share"`
	Distance     float64 `json:"distance"`
}

// Run prints the nearest gap of each interval.
func (c *fairnessCommand) Run(s *session) error {
	readers := make([]io.Reader, 0, len(c.Files))
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		readers = append(readers, file)
	}
	read, err := fairness.ReadLogs(readers...)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.stderr, "%d daemons, %d of their seconds are missing, %d lines are broken\n", read.Daemons, read.Missing, read.Broken)
	gaps := read.Log.Gaps()
	views := make([]fairnessGap, 0, len(gaps))
	rows := make([][]string, 0, len(gaps))
	for _, g := range gaps {
		v := fairnessGap{g.From, g.Account, g.Asked, g.Received, g.BestServed, g.BestReceived, g.Share(), g.Distance()}
		views = append(views, v)
		rows = append(rows, []string{strconv.FormatInt(v.From, 10), v.Account, formatTokens(v.Asked), formatTokens(v.Received), v.BestServed,
			formatTokens(v.BestReceived), fmt.Sprintf("%.2f", v.Share), fmt.Sprintf("%.2f", v.Distance)})
	}
	return s.print(views, []string{"FROM", "ACCOUNT", "ASKED", "RECEIVED", "BEST SERVED", "RECEIVED", "SHARE", "DISTANCE"}, rows)
}

// formatTokens returns a number of tokens without decimals.
func formatTokens(tokens float64) string { return strconv.FormatFloat(tokens, 'f', 0, 64) }
