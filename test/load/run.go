package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Target tells where callers send their requests.
type Target struct {
	Model     string
	Addresses []string          // of the daemons, by number
	APIKeys   map[string]string // API key by account
}

// Run drives the callers against the target until the context ends, and returns what they saw.
func Run(ctx context.Context, callers []Caller, target Target) []*Outcome {
	client := NewClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var outcomes []*Outcome
	var wg sync.WaitGroup
	for _, caller := range callers {
		wg.Go(func() {
			own := caller.run(ctx, client, target)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, own...)
		})
	}
	wg.Wait()
	return outcomes
}

// refusalPause is how long a caller waits after a refusal.
const refusalPause = 100 * time.Millisecond

func (c Caller) run(ctx context.Context, client *http.Client, target Target) []*Outcome {
	var outcomes []*Outcome
	if !pause(ctx, c.StartDelay) {
		return nil
	}
	for ctx.Err() == nil {
		prompt, answer := c.NextSize()
		call := Call{
			Account:      c.Account,
			APIKey:       target.APIKeys[c.Account],
			Address:      target.Addresses[c.Daemon%len(target.Addresses)],
			Model:        target.Model,
			PromptWords:  prompt,
			AnswerTokens: answer,
			MaxTokens:    c.limit(answer),
		}
		out := call.Do(ctx, client)
		outcomes = append(outcomes, out)
		wait := c.ThinkTime
		if !out.Completed() {
			wait = max(wait, refusalPause)
		}
		if !pause(ctx, wait) {
			break
		}
	}
	return outcomes
}

// limit returns the stated limit, which is never below the true length: engines cut there.
func (c Caller) limit(answer int) int {
	return max(answer, int(float64(answer)*c.HintFactor))
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
