package serverlimit

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// demand is a moving average of the requests per second, with the time constant demandTime.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(now time.Time) {
	d.perSecond = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
}

func (d *demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// claim is the demand of one claimant of a limit, a zone or a daemon.
type claim struct {
	key    uint64 // hash of its name
	demand float64
}

// computePart returns this daemon's part of the limit in requests per second: that of its zone in proportion to the
// demand of all zones, divided in proportion to the demand of the daemons of the zone. Of a fleet that this daemon
// doesn't know completely, it divides only as much as the known part of the daemons is of all, so that parts that have
// lost each other don't use the limit twice.
func (l *Limiter) computePart(server uint64, rate float64, now time.Time) float64 {
	service := l.services[server]
	daemons := []claim{{xxhash.Sum64String(l.options.ID), l.ownDemand(service, now)}}
	zones := []claim{{xxhash.Sum64String(l.options.Zone), 0}}
	known := 1
	for name, peer := range l.peers {
		if now.Sub(peer.receivedAt) > peer.ttl {
			delete(l.peers, name)
			continue
		}
		known += peer.Daemons
		if peer.Zone != "" {
			zones = append(zones, claim{xxhash.Sum64String(peer.Zone), peer.Demands[service]})
		} else {
			daemons = append(daemons, claim{peer.key, peer.Demands[service]})
		}
	}
	for _, d := range daemons {
		zones[0].demand += d.demand
	}
	rate = max(rate, minRate) * min(1, float64(known)/float64(max(1, l.options.Daemons())))
	return divide(divide(rate, zones, server), daemons, server)
}

func (l *Limiter) ownDemand(service uint64, now time.Time) float64 {
	if d, ok := l.demands[service]; ok {
		return d.rate(now)
	}
	return 0
}

// divide returns the first claimant's part of the rate. Only as many claimants as there are requests in burstTime get
// one, chosen by weighted rendezvous hashing: the more demand, the more likely, others for each server, and small
// changes of the demand seldom change the choice.
func divide(rate float64, claims []claim, server uint64) float64 {
	own := claims[0]
	if own.demand <= 0 || rate <= 0 {
		return 0
	}
	holders := max(1, int(rate*burstTime.Seconds()))
	claims = slices.DeleteFunc(slices.Clone(claims), func(c claim) bool { return c.demand <= 0 })
	if len(claims) > holders {
		slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.rank(server), b.rank(server)) })
		claims = claims[:holders]
		if !slices.ContainsFunc(claims, func(c claim) bool { return c.key == own.key }) {
			return 0
		}
	}
	total := 0.0
	for _, c := range claims {
		total += c.demand
	}
	return rate * own.demand / total
}

// rank returns an exponentially distributed hash with the demand as its rate (Efraimidis and Spirakis 2006). The lowest
// ones hold parts of the server's limit.
func (c claim) rank(server uint64) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], c.key)
	hash := xxhash.NewWithSeed(server)
	_, _ = hash.Write(key[:]) // never fails
	uniform := (float64(hash.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / c.demand
}
