package topology

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/monotonic"
)

// recoveryGracePeriod is how long missing servers are kept after the store has returned from an outage. Running servers register
// again within 2 s.
const recoveryGracePeriod = 2100 * time.Millisecond

// raiseRecovered sets recoveredAt to a later time and reports whether it was earlier.
func (r *Reader) raiseRecovered(at time.Time) bool {
	next := monotonic.UnixNano(at)
	for known := r.recoveredAt.Load(); next > known; known = r.recoveredAt.Load() {
		if r.recoveredAt.CompareAndSwap(known, next) {
			return true
		}
	}
	return false
}

// lastCurrent returns the time since when an outage of the store would show: that of the last complete list, or of the return of
// the store after that.
func (r *Reader) lastCurrent() int64 { return max(r.asOf[Servers].Load(), r.recoveredAt.Load()) }

// seeList records that a list of servers was complete at the given time. If none was for longer than unreachableAfter before, the
// store may have been down: servers whose entries have expired have the time to register again. The daemon need not have called
// the store itself, or may have stood still.
func (r *Reader) seeList(at time.Time) {
	if !r.serversListed.Load() {
		return
	}
	age := time.Duration(monotonic.UnixNano(at) - r.lastCurrent())
	if age <= unreachableAfter || !r.raiseRecovered(at) {
		return
	}
	r.returnedAt.Store(monotonic.UnixNano(at))
	r.currentSince.Store(monotonic.UnixNano(at))
	r.logger.Info("List of servers was not current for long.", "age", age)
}

// returned records that a call has succeeded after the last one of its topic failed. It tells peers, unless one of them or the other
// topic has noticed it before.
//
// A daemon whose own calls failed for long while lists of peers stayed current was turned away alone. The store was up, so that it
// keeps no servers that are missing.
func (r *Reader) returned(t Topic, failingSince, failedAt, now time.Time) {
	if r.recoveredAt.Load() > monotonic.UnixNano(failedAt) {
		r.wakeAll() // the other topic may have failed in a later outage
		return
	}
	if reported := r.reportedAt.Load(); reported > monotonic.UnixNano(failedAt) {
		r.raiseRecovered(monotonic.Time(reported)) // the peer was not cut off alone
		r.wakeAll()
		return
	}
	outage := time.Duration(monotonic.UnixNano(now)-r.lastCurrent()) > unreachableAfter
	before := monotonic.Time(r.recoveredAt.Load())
	// Servers that were kept behind the outage before need as long again, which daemons that made no call in this one don't know.
	again := t == Servers && failingSince.Before(before.Add(recoveryGracePeriod))
	if before.After(failingSince) {
		failingSince = before // calls failed in both outages
	}
	r.seeList(now)
	// After a short outage servers are kept by this daemon's own lists alone, and by those that know of it by report alone.
	if t == Servers && !outage && now.Sub(failingSince) <= maxShortOutage {
		if answered := monotonic.Time(r.answeredAt.Load()); answered.After(failedAt) {
			now = answered
		}
		r.raiseRecovered(now)
	}
	r.wakeAll()
	if r.onReturn != nil && (outage || again || r.probes.backsOff(t)) {
		r.onReturn(now)
	}
}

// noteAnswered records the time of the first complete list behind the last failed call for servers, if this daemon or a peer has read
// one. Such a list shows that the store answers again, also if no peer reports its return.
func (r *Reader) noteAnswered(at time.Time) {
	next, failed := monotonic.UnixNano(at), r.failedAt[Servers].Load()
	if known := r.answeredAt.Load(); next > failed && known <= failed {
		r.answeredAt.CompareAndSwap(known, next)
	}
	if r.probes.failing() {
		r.endBackoff(at)
	}
}

// Returned returns the time at which a daemon first had a call answered after the last outage of the store, zero if none is known.
func (r *Reader) Returned() time.Time {
	if at := r.returnedAt.Load(); at != 0 {
		return monotonic.Time(at)
	}
	return time.Time{}
}

// HearReturn records that a call of a peer was answered at the given time, the first after an outage of the store. The daemon then
// reads the store at once if it does so for its zone, and otherwise waits for the list of a peer. Servers that this daemon's list
// lacks are kept until the end of the grace period after that time if it had no current list then.
func (r *Reader) HearReturn(at, now time.Time) {
	next := monotonic.UnixNano(at)
	unseen := next-r.lastCurrent() > int64(unreachableAfter)
	late := next <= r.currentSince.Load() && next-r.recoveredAt.Load() > int64(unreachableAfter)
	if unseen || late || !r.serversListed.Load() && r.recoveredAt.Load() == 0 {
		if r.raiseRecovered(at) {
			r.returnedAt.Store(next)
			r.logger.Info("Store has returned, reported by a peer.", "age", now.Sub(at))
		}
	}
	if next-r.recoveredAt.Load() <= int64(recoveryGracePeriod+unreachableAfter) {
		for known := r.reportedAt.Load(); next > known && !r.reportedAt.CompareAndSwap(known, next); known = r.reportedAt.Load() {
		}
	}
	r.endBackoff(at)
}

// maxShortOutage bounds the outages that a daemon counts by its own failed calls alone, from the first of them on.
const maxShortOutage = 2 * unreachableAfter

// recoveredFor returns the time from which the grace period counts for a daemon that has read the store since the given time, zero
// if it doesn't. One that has not read it all through a short outage has the word of a peer for that outage alone.
func (r *Reader) recoveredFor(readingSince time.Time) time.Time {
	recoveredAt, reportedAt := monotonic.Time(r.recoveredAt.Load()), monotonic.Time(r.reportedAt.Load())
	if reportedAt.After(recoveredAt) && (readingSince.IsZero() || reportedAt.Sub(readingSince) < maxShortOutage) {
		return reportedAt
	}
	return recoveredAt
}

// endBackoff ends the waits of both topics if their calls have failed and the store has answered a peer at the given time, behind them.
// Further answers within minTakeoverAge change nothing: the calls of a daemon that is cut off alone go on failing.
func (r *Reader) endBackoff(at time.Time) {
	next := monotonic.UnixNano(at)
	if !r.lastCallFailed.Load() || next <= max(r.failedAt[Configs].Load(), r.failedAt[Servers].Load()) {
		return
	}
	for known := r.heard.Load(); next-known > int64(minTakeoverAge); known = r.heard.Load() {
		if r.heard.CompareAndSwap(known, next) {
			r.wakeAll()
		}
	}
}

// peersRead reports whether the daemon leaves it to peers to read the topic.
func (r *Reader) peersRead(t Topic, now time.Time) bool {
	patience := takeoverAge(r.stateInterval())
	fresh := r.Age(t, now) < patience
	heard := monotonic.Time(r.heard.Load())
	if r.lastCallFailed.Load() && now.Sub(heard) < patience && heard.After(monotonic.Time(r.failedAt[t].Load())) {
		return !r.readsFirst()
	}
	return fresh && !r.readsStore()
}

// wakeAll ends the backoff of both topics.
func (r *Reader) wakeAll() {
	for _, wake := range r.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// awaitProbe waits until the planned time, or until the store is known to answer. A plan that was made for more readers than are
// left ends with the backoff for these.
func (r *Reader) awaitProbe(ctx context.Context, t Topic, planned time.Time) {
	started := time.Now()
	for now := started; now.Before(planned) && now.Sub(started) < 2*maxBackoffFor(r.readerCount()); now = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-r.wake[t]:
			return
		case <-time.After(min(planned.Sub(now), roleCheckInterval)):
		}
	}
}
