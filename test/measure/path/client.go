package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots, DisableCompression: true}}

func chatBody(model string, tokens int, content string) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, content)
}

// openStream sends a request and returns the event stream of its answer.
func openStream(address, body string) (io.ReadCloser, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, errors.Newf("status %d: %s", resp.StatusCode, text)
	}
	return resp.Body, nil
}

// countTokens reads a stream to its end and returns its number of tokens. It returns an error if the end
// marker is missing.
func countTokens(stream io.ReadCloser) (int, error) {
	defer func() { _ = stream.Close() }()
	lines := bufio.NewScanner(stream)
	tokens, done := 0, false
	for lines.Scan() {
		switch line := lines.Bytes(); {
		case bytes.Contains(line, []byte(`"content":"w`)):
			tokens++
		case bytes.HasSuffix(line, []byte("[DONE]")):
			done = true
		}
	}
	if !done {
		return tokens, errors.CombineErrors(lines.Err(), errors.New("stream ended without the end marker"))
	}
	return tokens, nil
}

// runChat sends a request and returns an error unless its answer is complete and has this number of
// tokens.
func runChat(address, body string, tokens int) error {
	stream, err := openStream(address, body)
	if err != nil {
		return err
	}
	got, err := countTokens(stream)
	if err == nil && got != tokens {
		err = errors.Newf("received %d tokens, want %d", got, tokens)
	}
	return err
}

// samples collects durations and errors. Its add method is safe for concurrent use.
type samples struct {
	mu        sync.Mutex
	durations []time.Duration
	err       error
}

func (s *samples) add(d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations = append(s.durations, d)
	s.err = errors.CombineErrors(s.err, err)
}

// quantile returns the q-quantile of the durations, for q from 0 to 1.
func (s *samples) quantile(q float64) time.Duration {
	slices.Sort(s.durations)
	return s.durations[int(q*float64(len(s.durations)-1))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// rssKB returns the resident memory of the daemon in KiB, or 0 if it cannot be read.
func (tb *testbed) rssKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", tb.Daemons[0].PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// cpuTime returns the user and system CPU time of the daemon, or 0 if it cannot be read. It assumes clock
// ticks of 10 ms.
func (tb *testbed) cpuTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", tb.Daemons[0].PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
