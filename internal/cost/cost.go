// Package cost computes the cost of requests for fair sharing: weighted tokens for models,
// calls for plain services.
package cost

// Weights of tokens in a model's cost, as in the Virtual Token Counter (Sheng et al., OSDI 2024).
// A generated token takes more accelerator time than a prompt token.
const (
	PromptTokenWeight    = 1.0
	GeneratedTokenWeight = 2.0
)

// Call is the cost of one call of a plain service.
const Call = 1.0

// bytesPerToken is the assumed average length of a prompt token.
const bytesPerToken = 4

// Tokens returns the cost of a request with the given numbers of prompt and generated tokens.
func Tokens(prompt, generated int) float64 {
	return PromptTokenWeight*float64(prompt) + GeneratedTokenWeight*float64(generated)
}

// PromptTokens estimates the number of prompt tokens in a request body from its length in
// bytes.
func PromptTokens(bodyBytes int) int { return bodyBytes / bytesPerToken }
