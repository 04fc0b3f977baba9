package serverlimit

import (
	"math"
	"time"
)

const (
	// rampDoublingTime is the time in which the limit of a server that was cold doubles. Without a ramp, all daemons would
	// send their requests at once to the servers that are empty.
	rampDoublingTime = time.Second
	// rampTime is the time after which the limit ends. By then it is eight times what a cold server bears.
	rampTime = 3 * rampDoublingTime
)

// coldLimit bounds the requests to a server that is cold, and for rampTime after that. The fleet shares it like a limit that
// the server names. It is known from the server's record, which all daemons receive, so that it isn't reported to peers.
type coldLimit struct {
	limit
	until time.Time
}

// rateAt returns the limit in requests per second. ok is false when it has ended.
func (c *coldLimit) rateAt(now time.Time) (rate float64, ok bool) {
	warmFor := now.Sub(c.until)
	if warmFor > rampTime {
		return 0, false
	}
	return c.rate * math.Exp2(max(0, warmFor.Seconds()/rampDoublingTime.Seconds())), true
}

// setCold sets the limit of a server that is cold. That of a server that has become warm ends with its ramp.
func (l *Limiter) setCold(s Server) {
	if s.ColdRate <= 0 || s.ColdUntil.IsZero() {
		return
	}
	known, ok := l.cold[s.ID]
	if !ok {
		known = &coldLimit{}
		l.cold[s.ID] = known
	}
	known.rate, known.until = s.ColdRate, s.ColdUntil
}

// allowCold reports whether a request may be sent to the server as far as it is cold.
func (l *Limiter) allowCold(server uint64, now time.Time) bool {
	cold, ok := l.cold[server]
	if !ok {
		return true
	}
	rate, ok := cold.rateAt(now)
	if !ok {
		delete(l.cold, server)
		return true
	}
	if cold.updatedAt.IsZero() {
		cold.updatedAt = now.Add(-updateInterval)
	}
	l.update(server, &cold.limit, rate, now)
	return cold.part > 0 && cold.credit >= 1
}

// Cold returns the limit of a server that is cold or has been a short time ago, in requests per second, and when it is warm.
func (l *Limiter) Cold(server uint64, now time.Time) (rate float64, until time.Time, ok bool) {
	cold, ok := l.cold[server]
	if !ok {
		return 0, time.Time{}, false
	}
	rate, ok = cold.rateAt(now)
	return rate, cold.until, ok
}
