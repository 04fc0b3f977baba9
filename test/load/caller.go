// Package load drives a fleet with callers and records what they see.
package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/cost"
)

// Call is one chat completion that a caller asks for.
type Call struct {
	Account      string
	APIKey       string
	Address      string // of the daemon or engine, ip:port
	Model        string
	PromptWords  int // words
	AnswerTokens int // tokens that the engine generates
	MaxTokens    int // tokens that the caller states as its limit, the hint of the cost
}

// Outcome is what the caller saw of a call.
type Outcome struct {
	Account      string
	SentAt       time.Time
	TokenTimes   []time.Time // arrival of each token
	EndedAt      time.Time
	PromptTokens int    // tokens
	ResultCode   string // result code of a refusal
	Err          error
}

// Whole reports whether the answer came to its end.
func (o *Outcome) Completed() bool { return o.Err == nil && o.ResultCode == "" }

// Cost returns the cost of the whole answer.
func (o *Outcome) Cost() float64 { return cost.Tokens(o.PromptTokens, len(o.TokenTimes)) }

// NewClient returns an HTTP client for many concurrent callers.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// Do runs the call and reads its whole answer.
func (c Call) Do(ctx context.Context, client *http.Client) *Outcome {
	outcome := &Outcome{Account: c.Account, SentAt: time.Now(), PromptTokens: c.PromptWords + promptOverhead}
	outcome.Err = c.readAnswer(ctx, client, outcome)
	outcome.EndedAt = time.Now()
	return outcome
}

// promptOverhead counts the role and the word that sets the answer's length.
const promptOverhead = 2

func (c Call) readAnswer(ctx context.Context, client *http.Client, outcome *Outcome) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/chat/completions", bytes.NewReader(c.body()))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		outcome.ResultCode = resp.Header.Get("X-Result-Code")
		return nil
	}
	return readTokens(resp, outcome)
}

func (c Call) body() []byte {
	words := strings.Repeat("word ", c.PromptWords) + fmt.Sprintf("answer=%d", c.AnswerTokens)
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		c.Model, c.MaxTokens, words)
}

func readTokens(resp *http.Response, outcome *Outcome) error {
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Bytes()
		switch {
		case bytes.Equal(line, []byte("data: [DONE]")):
			return nil
		case bytes.HasPrefix(line, []byte("event: error")):
			return errors.New("the answer ended with an error event")
		case bytes.Contains(line, []byte(`"content":"w`)):
			outcome.TokenTimes = append(outcome.TokenTimes, time.Now())
		}
	}
	return errors.CombineErrors(errors.New("the answer was cut"), scanner.Err())
}
