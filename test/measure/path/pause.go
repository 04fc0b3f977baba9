package main

import (
	"bufio"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// pauseTokens is the length of the answers of the resume run, in tokens.
const pauseTokens = 12

// pause compares the longest gap of streams that break once with that of unbroken ones.
func (p *path) pause(f flags) error {
	faults := "http://" + p.even.Address + "/admin/faults"
	broken, whole := &samples{}, &samples{}
	for range f.Breaks {
		gap, err := p.longestGap()
		whole.add(gap, err)
		if err := cluster.PostJSON(faults, `{"mode":"close_mid_stream","count":1,"after_tokens":5}`); err != nil {
			return err
		}
		gap, err = p.longestGap()
		broken.add(gap, err)
		if broken.err != nil {
			return broken.err
		}
	}
	for _, q := range []float64{0.5, 0.99} {
		with, without := broken.quantile(q), whole.quantile(q)
		fmt.Printf("path_resume_pause_added_p%d_ms=%.3f\n", int(q*100), milliseconds(with-without))
	}
	fmt.Printf("path_resumes=%d\n", f.Breaks)
	return whole.err
}

// longestGap returns the longest time between two events of an answer.
func (p *path) longestGap() (time.Duration, error) {
	stream, err := open(p.Daemons[0].Address, body(evenModel, pauseTokens, "a dossier"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	lines := bufio.NewScanner(stream)
	var last time.Time
	var longest time.Duration
	tokens := 0
	for lines.Scan() {
		if !strings.Contains(lines.Text(), `"content":"w`) {
			continue
		}
		now := time.Now()
		if tokens > 0 {
			longest = max(longest, now.Sub(last))
		}
		last = now
		tokens++
	}
	if tokens != pauseTokens {
		return 0, errors.Newf("%d tokens instead of %d", tokens, pauseTokens)
	}
	return longest, lines.Err()
}
