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
func (b *Balancer) SetOverloaded(overloaded bool) { b.delayed = overloaded }

// Models returns what this daemon has learnt, by Hash of the service: nothing while it is
// delayed.
func (b *Balancer) Models() map[uint64]TimingModel {
	if b.delayed {
		return nil
	}
	models := make(map[uint64]TimingModel, len(b.models))
	for service, m := range b.models {
		if m.observed > 0 {
			models[Hash(service)] = TimingModel{m.timing[0], m.timing[1], m.timing[2], m.observed}
		}
	}
	return models
}

// SetPeerModels takes what a peer has learnt.
func (b *Balancer) SetPeerModels(peer string, models map[uint64]TimingModel, now time.Time) {
	b.peerModels[peer] = peerModels{models, now}
}

type peerModels struct {
	models map[uint64]TimingModel
	at     time.Time
}

// timing returns the timing that predictions for the service rest on.
func (b *Balancer) timing(service string, now time.Time) timing {
	own := b.model(service).timing
	if !b.delayed {
		return own
	}
	key := Hash(service)
	mean, weight := timing{}, 0.0
	for peer, p := range b.peerModels {
		if now.Sub(p.at) > peerModelTTL {
			delete(b.peerModels, peer)
			continue
		}
		m := p.models[key]
		for i, x := range (timing{m.Base, m.PerToken, m.PerRunning}) {
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
