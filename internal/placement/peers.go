package placement

import "time"

// Model is what a daemon has learnt of the timing of a service's engines.
type Model struct {
	Base         float64 // seconds to the first event of an idle engine
	PerToken     float64 // seconds for each prompt token to read
	PerRunning   float64 // seconds for each request that runs
	Observations float64 // that speak for it, weighed by age
}

// SetDelayed tells the board that this daemon itself is behind with its work. What it then
// observes says more of its own delay than of the servers: it is not learnt, and predictions
// rest on what peers have learnt.
func (b *Board) SetDelayed(delayed bool) { b.delayed = delayed }

// Models returns what this daemon has learnt, by Hash of the service: nothing while it is
// delayed.
func (b *Board) Models() map[uint64]Model {
	if b.delayed {
		return nil
	}
	models := make(map[uint64]Model, len(b.models))
	for service, m := range b.models {
		if m.observed > 0 {
			models[Hash(service)] = Model{m.timing[0], m.timing[1], m.timing[2], m.observed}
		}
	}
	return models
}

// SetPeerModels takes what a peer has learnt.
func (b *Board) SetPeerModels(peer string, models map[uint64]Model, now time.Time) {
	b.peerModels[peer] = peerModels{models, now}
}

type peerModels struct {
	models map[uint64]Model
	at     time.Time
}

// timing returns the timing that predictions for the service rest on.
func (b *Board) timing(service string, now time.Time) timing {
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
