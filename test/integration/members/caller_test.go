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

// buffer collects the logs of processes.
type buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// answer is an answer of /v1/entries with the time it was asked for.
type answer struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	LifetimeMS int64 `json:"lifetime_ms"`
	asked      time.Time
}

func (a *answer) expired(now time.Time) bool {
	return now.Sub(a.asked) >= time.Duration(a.LifetimeMS)*time.Millisecond
}

// fetch asks one daemon for the entries.
func fetch(client *http.Client, address, key string) (*answer, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	a := &answer{asked: time.Now()}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entries: status %d", resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(a)
}

// caller uses the first address of an answer of /v1/entries until the answer expires, and
// asks the addresses of the last answer for the next.
type caller struct {
	key    string
	client *http.Client
	answer *answer
}

// refresh asks in time for requests to begin within the answer's lifetime.
func (c *caller) refresh() error {
	if !c.answer.expired(time.Now().Add(100 * time.Millisecond)) {
		return nil
	}
	var failed error
	for _, entry := range c.answer.Entries {
		next, err := fetch(c.client, entry.Address, c.key)
		if err == nil && len(next.Entries) > 0 {
			c.answer = next
			return nil
		}
		failed = fmt.Errorf("%s: %w", entry.Address, err)
	}
	return failed
}

// shownFailures bounds the failures of a crowd that a test prints.
const shownFailures = 5

// crowd is a set of callers that call until stopped.
type crowd struct {
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	whole  int
	failed []string
}

func startCrowd(ctx context.Context, f *cluster.Fleet, callers, tokens int) *crowd {
	ctx, stop := context.WithCancel(ctx)
	c := &crowd{stop: stop}
	for i := range callers {
		key := []string{"key-small", "key-large"}[i%2]
		first, err := fetch(http.DefaultClient, f.Daemons[i%len(f.Daemons)].Address, key)
		if err != nil {
			c.note(err.Error())
			continue
		}
		c.wg.Go(func() { c.run(ctx, &caller{key: key, client: load.NewClient(), answer: first}, tokens) })
	}
	return c
}

func (c *crowd) run(ctx context.Context, one *caller, tokens int) {
	for ctx.Err() == nil {
		if err := one.refresh(); err != nil {
			c.note("refresh: " + err.Error())
			return
		}
		call := load.Call{
			Address: one.answer.Entries[0].Address, Key: one.key, Model: "drafter",
			Prompt: 10, Answer: tokens, Limit: tokens,
		}
		out := call.Do(context.Background(), one.client)
		if out.Whole() {
			c.note("")
			continue
		}
		c.note(fmt.Sprintf("%s at %v: code %q, %v", call.Address, time.Now(), out.Code, out.Err))
	}
}

func (c *crowd) note(failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failure == "" {
		c.whole++
		return
	}
	c.failed = append(c.failed, failure)
}

// end stops the callers after their present requests. It returns the number of whole
// answers, and fails the test for any other.
func (c *crowd) end(t *testing.T) int {
	t.Helper()
	c.stop()
	c.wg.Wait()
	require.Empty(t, c.failures())
	return c.whole
}

func (c *crowd) failures() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.failed[:min(len(c.failed), shownFailures)], "\n")
}
