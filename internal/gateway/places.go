package gateway

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/serverlimit"
)

// returnedColdTime is how long the servers of a zone count as cold after the end of its evacuation, whatever their records
// say. They may have become cold just before, and a record takes a heartbeat, the delay of the store and a read of it to
// arrive.
const returnedColdTime = 2500 * time.Millisecond

// places completes servers by what their zones and the configuration say of them. It is not safe for concurrent use.
type places struct {
	regions       map[string]string // by zone
	coldOvershoot float64
	coldSlack     float64 // requests

	evacuated  []string             // zones, at the last call of complete
	returnedAt map[string]time.Time // by zone: end of its last evacuation
}

func newPlaces(s Settings) places {
	return places{regions: s.ZoneRegions, coldOvershoot: s.ColdOvershoot, coldSlack: s.ColdSlack, returnedAt: make(map[string]time.Time)}
}

// complete sets the region, the evacuation and the limit while cold of each server. The configuration may be nil.
func (p *places) complete(servers []routing.Server, config *routing.Config, evacuated []string, now time.Time) {
	for _, zone := range p.evacuated {
		if !slices.Contains(evacuated, zone) {
			p.returnedAt[zone] = now
		}
	}
	p.evacuated = evacuated
	for i := range servers {
		s := &servers[i]
		s.Region = p.regions[s.Zone]
		s.Evacuated = slices.Contains(evacuated, s.Zone)
		if config == nil {
			continue
		}
		if service := config.Service(s.Service); service != nil {
			s.ColdRate = p.coldRate(service.ColdRate)
		}
		if coldUntil := p.returnedAt[s.Zone].Add(returnedColdTime); now.Before(coldUntil) && coldUntil.After(s.ColdUntil) {
			s.ColdUntil = coldUntil
		}
	}
}

// coldRate returns the rate at which the fleet uses a cold server of the service, in requests per second. With the bursts of
// all daemons, no second has more requests than the users allow.
func (p *places) coldRate(bearable float64) float64 {
	return min(bearable, (p.coldOvershoot*bearable+p.coldSlack)/serverlimit.BurstFactor)
}
