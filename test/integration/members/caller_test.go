package members

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/load"
)

// syncBuffer is a bytes.Buffer for concurrent use, for the logs of processes.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// entriesResponse is a response of /v1/entries and the time of its request.
type entriesResponse struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	LifetimeMS  int64 `json:"lifetime_ms"`
	requestedAt time.Time
}

func (r *entriesResponse) expired(now time.Time) bool {
	return now.Sub(r.requestedAt) >= time.Duration(r.LifetimeMS)*time.Millisecond
}

// fetchEntries requests /v1/entries from one daemon.
func fetchEntries(client *http.Client, address, key string) (*entriesResponse, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	entries := &entriesResponse{requestedAt: time.Now()}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entries: status %d", resp.StatusCode)
	}
	return entries, json.NewDecoder(resp.Body).Decode(entries)
}

// caller uses the first address of a response of /v1/entries until the response expires, and
// requests the next response from the addresses of the last one.
type caller struct {
	key     string
	client  *http.Client
	entries *entriesResponse
}

// refresh requests new entries 100 ms before the current ones expire, so that requests always
// begin within their lifetime.
func (c *caller) refresh() error {
	if !c.entries.expired(time.Now().Add(100 * time.Millisecond)) {
		return nil
	}
	var lastErr error
	for _, entry := range c.entries.Entries {
		next, err := fetchEntries(c.client, entry.Address, c.key)
		if err == nil && len(next.Entries) > 0 {
			c.entries = next
			return nil
		}
		lastErr = fmt.Errorf("%s: %w", entry.Address, err)
	}
	return lastErr
}

// maxShownFailures is the maximum number of failures that a test prints.
const maxShownFailures = 5

// callerPool is a set of callers that send requests until stopped.
type callerPool struct {
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu        sync.Mutex
	completed int
	failures  []string
}

// startCallers starts callers that send one request after the other, each for an answer of
// the given number of tokens.
func startCallers(ctx context.Context, f *cluster.Fleet, callers, tokens int) *callerPool {
	ctx, stop := context.WithCancel(ctx)
	pool := &callerPool{stop: stop}
	for i := range callers {
		key := []string{"key-small", "key-large"}[i%2]
		first, err := fetchEntries(http.DefaultClient, f.Daemons[i%len(f.Daemons)].Address, key)
		if err != nil {
			pool.record(err.Error())
			continue
		}
		pool.wg.Go(func() { pool.run(ctx, &caller{key: key, client: load.NewClient(), entries: first}, tokens) })
	}
	return pool
}

func (p *callerPool) run(ctx context.Context, caller *caller, tokens int) {
	for ctx.Err() == nil {
		if err := caller.refresh(); err != nil {
			p.record("refresh: " + err.Error())
			return
		}
		call := load.Call{
			Address: caller.entries.Entries[0].Address, APIKey: caller.key, Model: "drafter",
			PromptWords: 10, AnswerTokens: tokens, MaxTokens: tokens,
		}
		outcome := call.Do(context.Background(), caller.client)
		if outcome.Completed() {
			p.record("")
			continue
		}
		p.record(fmt.Sprintf("%s at %v: code %q, %v", call.Address, time.Now(), outcome.ResultCode, outcome.Err))
	}
}

// record counts a completed answer if failure is empty, and records the failure otherwise.
func (p *callerPool) record(failure string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failure == "" {
		p.completed++
		return
	}
	p.failures = append(p.failures, failure)
}

// stopAndVerify stops the callers after their current requests. It returns the number of
// complete answers, and fails the test if any request failed.
func (p *callerPool) stopAndVerify(t *testing.T) int {
	t.Helper()
	p.stop()
	p.wg.Wait()
	require.Empty(t, p.failureSummary())
	return p.completed
}

// failureSummary returns the first failures, one per line.
func (p *callerPool) failureSummary() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.failures[:min(len(p.failures), maxShownFailures)], "\n")
}
