package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	User                string        `json:"user"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// promptTokens returns the roles and words of all messages. Each counts as one token.
func (c chatRequest) promptTokens() []string {
	var tokens []string
	for _, m := range c.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		tokens = append(tokens, m.Role)
		tokens = append(tokens, strings.Fields(text)...)
	}
	return tokens
}

// answerLengthPrefix starts the prompt word that sets the number of tokens after which the engine
// ends the answer on its own, as in "answer=40".
const answerLengthPrefix = "answer="

// promptAnswerLength returns the answer length set in the prompt, if any.
func promptAnswerLength(prompt []string) (int, bool) {
	for _, word := range prompt {
		if text, ok := strings.CutPrefix(word, answerLengthPrefix); ok {
			n, err := strconv.Atoi(text)
			return n, err == nil && n > 0
		}
	}
	return 0, false
}

// answerLimit returns the limit on answer tokens that the request sets, if any.
func (c chatRequest) answerLimit() (int, bool) {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens, true
	}
	if c.MaxTokens != nil {
		return *c.MaxTokens, true
	}
	return 0, false
}

func (r *run) completion(object string) completion {
	return completion{
		ID:      "chatcmpl-" + r.id,
		Object:  object,
		Created: r.created.Unix(),
		Model:   r.model,
		Choices: []choice{},
	}
}

func (r *run) tokenUsage() *usage {
	return &usage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: r.answerTokens,
		TotalTokens:      r.promptTokens + r.answerTokens,
	}
}

// fullAnswer returns the non-streaming answer of a finished run.
func (r *run) fullAnswer() completion {
	var text strings.Builder
	for i := range r.answerTokens {
		text.WriteString(r.token(i))
	}
	reason := r.finishReason()
	answer := r.completion("chat.completion")
	answer.Choices = []choice{{
		Message:      &message{Role: "assistant", Content: text.String()},
		FinishReason: &reason,
	}}
	answer.Usage = r.tokenUsage()
	return answer
}

// eventCount returns the number of stream events of a finished run.
func (r *run) eventCount() int {
	if r.includeUsage {
		return r.answerTokens + 2
	}
	return r.answerTokens + 1
}

// event returns the stream event at the offset: first the tokens, then the finish reason, then the usage.
func (r *run) event(offset int) completion {
	chunk := r.completion("chat.completion.chunk")
	switch {
	case offset < r.answerTokens:
		delta := &message{Content: r.token(offset)}
		if offset == 0 {
			delta.Role = "assistant"
		}
		chunk.Choices = []choice{{Delta: delta}}
	case offset == r.answerTokens:
		reason := r.finishReason()
		chunk.Choices = []choice{{Delta: &message{}, FinishReason: &reason}}
	default:
		chunk.Usage = r.tokenUsage()
	}
	return chunk
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]any{
		"error": map[string]any{"message": text, "type": http.StatusText(status), "code": status},
	})
}
