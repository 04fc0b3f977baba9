package placement

import "time"

// cold reports whether the server is cold. Its times are then its own: they say nothing of the server once it is warm, nor of
// other servers of the service.
func (s *server) cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// currentSlowdown returns the factor of the predictions for the server. A cold server is predicted by what cold servers of
// its service have shown, until it has answered itself.
func (b *Balancer) currentSlowdown(s *server, now time.Time) float64 {
	if !s.wasCold {
		return s.slowdown
	}
	if !s.cold(now) {
		s.wasCold, s.slowdown = false, 1
		return s.slowdown
	}
	return max(s.slowdown, b.coldSlowdownOf(s.Service))
}

func (b *Balancer) coldSlowdownOf(service string) float64 {
	if slowdown, ok := b.coldSlowdown[service]; ok {
		return slowdown
	}
	return 1
}

// recordCold records the ratio of the observed to the predicted time to the first event at a cold server.
func (b *Balancer) recordCold(s *server, ratio float64) {
	known := b.coldSlowdownOf(s.Service)
	b.coldSlowdown[s.Service] = known + slowdownGain*(clamp(ratio, 0.5, maxSlowdown)-known)
}
