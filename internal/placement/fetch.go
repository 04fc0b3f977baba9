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

// fetchSources returns, for each software version of the service, the candidate with the longest known cached
// prefix of the prompt, without failing and overdue servers. What two versions keep in memory may not
// fit together.
func (b *Balancer) fetchSources(candidates []*server, r Request, now time.Time) fetchSources {
	var sources fetchSources
	if b.fetchRate[r.Service] <= 0 {
		return sources
	}
	for _, s := range candidates {
		tokens := s.cache.prefixTokens(r.Parts, now)
		if tokens == 0 || !r.allowsRegion(s) || s.failureRate(now) > maxSourceFailureRate || s.overdue(now) > 0 {
			continue
		}
		best := sources.of(s.Version)
		switch {
		case best == nil:
			sources = append(sources, fetchSource{s, tokens})
		case tokens > best.tokens:
			*best = fetchSource{s, tokens}
		}
	}
	return sources
}

// fetchSources has one source for each software version. There are few versions.
type fetchSources []fetchSource

// of returns the source for servers of the version, nil if there is none.
func (f fetchSources) of(version string) *fetchSource {
	for i := range f {
		if f[i].Version == version {
			return &f[i]
		}
	}
	return nil
}

// planFetch sets the source and tokens of the choice's fetch, if the source has at least
// minFetchTokens more of the prompt cached than the chosen server.
func (b *Balancer) planFetch(c *Choice, r Request, src *fetchSource) {
	if src == nil {
		return
	}
	cached := r.PromptTokens - c.UncachedTokens
	tokens := min(src.tokens, r.PromptTokens) - cached
	if src.ID == c.Server.ID || tokens < minFetchTokens {
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
