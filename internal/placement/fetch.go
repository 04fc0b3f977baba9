package placement

import "time"

const (
	// minFetched is the least tokens that are fetched. A transfer takes as long as reading 340
	// of them, but displaces no other reading: charged like that (rereadWeight) it pays from
	// about 30 on. With 256 more was read again (docs/design/platform.md).
	minFetchTokens = 64
	// fetchSetup is the time that a fetch takes whatever its size; not measured.
	fetchSetupTime = 3 * time.Millisecond
	// fetchWeight charges a fetched token beyond the time that it takes, in times of reading
	// one: it takes the links of two engines, but leaves them to go on reading.
	fetchWeight = 1.0
	// maxSourceFailures is the share of recent failures beyond which nothing is fetched from a
	// server.
	maxSourceFailureRate = 0.3
)

// source is the server that keeps most of a prompt.
type fetchSource struct {
	*server
	tokens int // from the begin of the prompt on
}

// SetFetchRate gives the tokens a second that engines of the service fetch from each other's
// memory; with 0 they read everything themselves.
func (b *Balancer) SetFetchRate(service string, tokensPerSecond float64) {
	b.fetchRate[service] = tokensPerSecond
}

// source returns the server of the service that is known to keep most of the prompt.
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

// fetch lets the server of the choice fetch what it lacks of the prompt from the source, when
// that is worth it.
func (b *Balancer) planFetch(c *Choice, r Request, src fetchSource) {
	cached := r.PromptTokens - c.UncachedTokens
	tokens := min(src.tokens, r.PromptTokens) - cached
	if src.server == nil || src.ID == c.Server.ID || tokens < minFetchTokens {
		return
	}
	c.Source, c.FetchedTokens = src.Server, tokens
	c.UncachedTokens -= tokens
}

// fetchTime returns the time in which the tokens are fetched.
func (b *Balancer) fetchTime(service string, tokens int) time.Duration {
	if tokens == 0 {
		return 0
	}
	return fetchSetupTime + seconds(float64(tokens)/b.fetchRate[service])
}
