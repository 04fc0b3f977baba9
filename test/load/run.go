package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Target describes the fleet that callers send their requests to.
type Target struct {
	Model     string
	Addresses []string          // by daemon number
	APIKeys   map[string]string // by account
}

// Run runs the callers concurrently against the target until the context ends and returns all
// outcomes.
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

// failureBackoff is the minimum time that a caller waits after a request that did not complete.
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

// maxTokens returns the max_tokens of a request. It is never below the true length, because
// engines cut the answer there.
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
