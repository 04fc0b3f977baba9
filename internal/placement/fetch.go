package placement

import "time"

const (
	// minFetchTokens is the least number of tokens that are fetched. A transfer takes as long as
	// the prefill of 340 tokens but doesn't block other prefills; with prefillWeight it pays off
	// from about 30 tokens on. With a minimum of 256, more tokens were prefilled repeatedly
	// (docs/design/platform.md).
	minFetchTokens = 64
	// fetchSetupTime is the part of a fetch's duration that doesn't depend on its size.
	fetchSetupTime = 3 * time.Millisecond
	// fetchWeight is the penalty for a fetched token, as a multiple of its prefill time, on top of
	// the time of the transfer: a transfer occupies the links of two engines but doesn't block
	// their prefills.
	fetchWeight = 1.0
	// maxSourceFailureRate is the failure rate above which nothing is fetched from a server.
	maxSourceFailureRate = 0.3
)

// fetchSource is the server with the longest cached prefix of a prompt.
type fetchSource struct {
	*server
	tokens int // of the cached prefix
}

// SetFetchRate sets the rate in tokens per second at which engines of the service fetch cached
// tokens from each other's memory. With 0 they prefill everything themselves.
func (b *Balancer) SetFetchRate(service string, tokensPerSecond float64) {
	b.fetchRate[service] = tokensPerSecond
}

// fetchSource returns the server of the service with the longest known cached prefix of the
// prompt, without failing and overdue servers; the zero value if there is none.
func (b *Balancer) fetchSource(r Request, now time.Time) fetchSource {
	var best fetchSource
	if b.fetchRate[r.Service] <= 0 {
		return best
	}
	for _, s := range b.ready[r.Service] {
		tokens := s.cache.prefixTokens(r.Parts, now)
		if tokens > best.tokens && s.failureRate(now) <= maxSourceFailureRate && s.overdue(now) == 0 {
			best = fetchSource{s, tokens}
		}
	}
	return best
}

// planFetch sets the source and tokens of the choice's fetch, if the source has at least
// minFetchTokens more of the prompt cached than the chosen server.
func (b *Balancer) planFetch(c *Choice, r Request, src fetchSource) {
	cached := r.PromptTokens - c.UncachedTokens
	tokens := min(src.tokens, r.PromptTokens) - cached
	if src.server == nil || src.ID == c.Server.ID || tokens < minFetchTokens {
		return
	}
	c.Source, c.FetchedTokens = src.Server, tokens
	c.UncachedTokens -= tokens
}

// fetchTime returns the predicted duration of a fetch of the tokens.
func (b *Balancer) fetchTime(service string, tokens int) time.Duration {
	if tokens == 0 {
		return 0
	}
	return fetchSetupTime + seconds(float64(tokens)/b.fetchRate[service])
}
