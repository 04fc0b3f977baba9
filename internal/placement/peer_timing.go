package placement

import "time"

// TimingModel is a linear model of the time to the first event of a service's engines, as fitted
// by one daemon.
type TimingModel struct {
	Base         float64 // seconds on an idle engine
	PerToken     float64 // seconds per prompt token to prefill
	PerRunning   float64 // seconds per running request
	Observations float64 // number of observations, weighted by age
}

// SetOverloaded sets whether this daemon is overloaded. The times that it observes then include
// its own delay: it ignores them and predicts by the timing models of its peers.
func (b *Balancer) SetOverloaded(overloaded bool) { b.overloaded = overloaded }

// TimingModels returns the models fitted by this daemon by Hash of the service, or nil while it
// is overloaded. Services without observations are left out.
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

// SetPeerTimingModels replaces the timing models, by Hash of the service, that the peer reported.
// The map must not be changed afterwards.
func (b *Balancer) SetPeerTimingModels(peer string, models map[uint64]TimingModel, now time.Time) {
	b.timingsByPeer[peer] = peerTimingModels{models, now}
}

// peerTimingModels is the last report of timing models of a peer.
type peerTimingModels struct {
	models     map[uint64]TimingModel
	receivedAt time.Time
}

// coefficients returns the coefficients for predictions of the service. While this daemon is
// overloaded they are the mean of its peers' models, weighted by observations, if there are any.
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
