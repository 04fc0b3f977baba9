// Package cost counts service in the units that fair shares are measured in: weighted
// tokens for models, calls for plain services.
package cost

// Weights of tokens in a model's cost, as in the Virtual Token Counter (Sheng et al., OSDI 2024):
// a generated token takes more of an accelerator than a prompt token.
const (
	PromptTokenWeight    = 1.0
	GeneratedTokenWeight = 2.0
)

// Call is the cost of one call of a plain service.
const Call = 1.0

// bytesPerToken converts the length of a prompt to an estimate of its tokens.
const bytesPerToken = 4

// Tokens returns the cost of an answer.
func Tokens(prompt, generated int) float64 {
	return PromptTokenWeight*float64(prompt) + GeneratedTokenWeight*float64(generated)
}

// PromptTokens estimates the tokens of a request body from its length in bytes.
func PromptTokens(bodyBytes int) int { return bodyBytes / bytesPerToken }
