package admission

import "time"

// minRankShare bounds how much less the requests of a rank receive of what they ask for than all requests do on average. It
// keeps the least urgent kind from starving.
const minRankShare = 0.4

// RecordRank adds the tokens of a request of the rank to what that rank asks for, and receives if the request is admitted.
func (s *Shares) RecordRank(rank int, tokens float64, admitted bool, now time.Time) {
	r, ok := s.ranks[rank]
	if !ok {
		r = &usageRing{}
		s.ranks[rank] = r
	}
	bucket := r.bucketAt(s.bucketIndex(now))
	bucket.demand += tokens
	if admitted {
		bucket.admitted += tokens
	}
}

// Rank returns the rank by which a request is decided on: its own one, or 0 while the requests of that rank receive less than
// minRankShare of their part at this daemon.
func (s *Shares) Rank(rank int, now time.Time) int {
	if _, ok := s.ranks[rank]; !ok || rank == 0 {
		return rank
	}
	index := s.bucketIndex(now)
	var all Usage
	for _, r := range s.ranks {
		all = all.Plus(r.sum(index))
	}
	if own := s.ranks[rank].sum(index); own.Admitted*all.Demand < minRankShare*all.Admitted*own.Demand {
		return 0
	}
	return rank
}
