package placement

import "time"

// Model is what a daemon has learnt of the timing of a service's engines.
type TimingModel struct {
	Base         float64 // seconds to the first event of an idle engine
	PerToken     float64 // seconds for each prompt token to read
	PerRunning   float64 // seconds for each request that runs
	Observations float64 // that speak for it, weighed by age
}

// SetDelayed tells the board that this daemon itself is behind with its work. What it then
// observes says more of its own delay than of the servers: it is not learnt, and predictions
// rest on what peers have learnt.
func (b *Balancer) SetOverloaded(overloaded bool) { b.overloaded = overloaded }

// Models returns what this daemon has learnt, by Hash of the service: nothing while it is
// delayed.
func (b *Balancer) TimingModels() map[uint64]TimingModel {
	if b.overloaded {
		return nil
	}
	models := make(map[uint64]TimingModel, len(b.regressions))
	for service, m := range b.regressions {
		if m.observations > 0 {
			models[Hash(service)] = TimingModel{m.coefficients[0], m.coefficients[1], m.coefficients[2], m.observations}
		}
	}
	return models
}

// SetPeerModels takes what a peer has learnt.
func (b *Balancer) SetPeerTimingModels(peer string, models map[uint64]TimingModel, now time.Time) {
	b.timingsByPeer[peer] = peerTimingModels{models, now}
}

type peerTimingModels struct {
	models     map[uint64]TimingModel
	receivedAt time.Time
}

// timing returns the timing that predictions for the service rest on.
func (b *Balancer) coefficients(service string, now time.Time) coefficients {
	own := b.regression(service).coefficients
	if !b.overloaded {
		return own
	}
	key := Hash(service)
	mean, weight := coefficients{}, 0.0
	for peer, p := range b.timingsByPeer {
		if now.Sub(p.receivedAt) > peerTimingTTL {
			delete(b.timingsByPeer, peer)
			continue
		}
		m := p.models[key]
		for i, x := range (coefficients{m.Base, m.PerToken, m.PerRunning}) {
			mean[i] += x * m.Observations
		}
		weight += m.Observations
	}
	if weight == 0 {
		return own
	}
	for i := range mean {
		mean[i] /= weight
	}
	return mean
}
