// Package load generates requests to a fleet and records the answers as callers see them.
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

// Call is one chat completion request.
type Call struct {
	Account      string
	APIKey       string
	Address      string // IP:PORT of the daemon or engine
	Model        string
	PromptWords  int // length of the prompt
	AnswerTokens int // length of the answer that the engine generates
	MaxTokens    int // max_tokens of the request, from which the cost is estimated
}

// Outcome is the result of a call as the caller sees it.
type Outcome struct {
	Account      string
	SentAt       time.Time
	TokenTimes   []time.Time // arrival of each token
	EndedAt      time.Time
	PromptTokens int
	ResultCode   string // X-Result-Code of a refusal, otherwise empty
	Err          error
}

// Completed reports whether the whole answer arrived.
func (o *Outcome) Completed() bool { return o.Err == nil && o.ResultCode == "" }

// Cost returns the cost of the request, counting the tokens that arrived.
func (o *Outcome) Cost() float64 { return cost.Tokens(o.PromptTokens, len(o.TokenTimes)) }

// NewClient returns an HTTP client for many concurrent callers.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// Do sends the request and reads the streamed answer. Errors are returned in Outcome.Err.
func (c Call) Do(ctx context.Context, client *http.Client) *Outcome {
	outcome := &Outcome{Account: c.Account, SentAt: time.Now(), PromptTokens: c.PromptWords + promptOverhead}
	outcome.Err = c.readAnswer(ctx, client, outcome)
	outcome.EndedAt = time.Now()
	return outcome
}

// promptOverhead is the number of prompt tokens besides PromptWords: the role and the word that
// sets the length of the answer.
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
			return errors.New("answer ended with an error event")
		case bytes.Contains(line, []byte(`"content":"w`)):
			outcome.TokenTimes = append(outcome.TokenTimes, time.Now())
		}
	}
	return errors.CombineErrors(errors.New("answer ended without [DONE]"), scanner.Err())
}
