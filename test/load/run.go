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
			callerOutcomes := caller.run(ctx, client, target)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, callerOutcomes...)
		})
	}
	wg.Wait()
	return outcomes
}

// refusalPause is how long a caller waits after a refusal.
const failureBackoff = 100 * time.Millisecond

func (c Caller) run(ctx context.Context, client *http.Client, target Target) []*Outcome {
	var outcomes []*Outcome
	if !sleep(ctx, c.StartDelay) {
		return nil
	}
	for ctx.Err() == nil {
		promptWords, answerTokens := c.NextSize()
		call := Call{
			Account:      c.Account,
			APIKey:       target.APIKeys[c.Account],
			Address:      target.Addresses[c.Daemon%len(target.Addresses)],
			Model:        target.Model,
			PromptWords:  promptWords,
			AnswerTokens: answerTokens,
			MaxTokens:    c.maxTokens(answerTokens),
		}
		outcome := call.Do(ctx, client)
		outcomes = append(outcomes, outcome)
		wait := c.ThinkTime
		if !outcome.Completed() {
			wait = max(wait, failureBackoff)
		}
		if !sleep(ctx, wait) {
			break
		}
	}
	return outcomes
}

// limit returns the stated limit, which is never below the true length: engines cut there.
func (c Caller) maxTokens(answerTokens int) int {
	return max(answerTokens, int(float64(answerTokens)*c.HintFactor))
}

func sleep(ctx context.Context, d time.Duration) bool {
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
