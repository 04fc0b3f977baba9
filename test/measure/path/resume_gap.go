package main

import (
	"bufio"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// resumeRunTokens is the length of each answer in the resume run.
const resumeRunTokens = 12

// measureResumeGap measures how much an interruption lengthens the longest token gap of a stream.
func (tb *testbed) measureResumeGap(f flags) error {
	faultsURL := "http://" + tb.even.Address + "/admin/faults"
	interrupted, uninterrupted := &samples{}, &samples{}
	for range f.Breaks {
		gap, err := tb.longestTokenGap()
		uninterrupted.add(gap, err)
		if err := cluster.PostJSON(faultsURL, `{"mode":"close_mid_stream","count":1,"after_tokens":5}`); err != nil {
			return err
		}
		gap, err = tb.longestTokenGap()
		interrupted.add(gap, err)
		if interrupted.err != nil {
			return interrupted.err
		}
	}
	for _, q := range []float64{0.5, 0.99} {
		with, without := interrupted.quantile(q), uninterrupted.quantile(q)
		fmt.Printf("path_resume_pause_added_p%d_ms=%.3f\n", int(q*100), milliseconds(with-without))
	}
	fmt.Printf("path_resumes=%d\n", f.Breaks)
	return uninterrupted.err
}

// longestTokenGap runs a request and returns the longest token gap of its answer.
func (tb *testbed) longestTokenGap() (time.Duration, error) {
	stream, err := openStream(tb.Daemons[0].Address, chatBody(evenModel, resumeRunTokens, "a dossier"))
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
	if tokens != resumeRunTokens {
		return 0, errors.Newf("received %d tokens, want %d", tokens, resumeRunTokens)
	}
	return longest, lines.Err()
}
