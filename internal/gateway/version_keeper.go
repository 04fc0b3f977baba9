package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// VersionStore keeps the versions at which streams may have begun, for the case that all daemons that know them end.
type VersionStore interface {
	SaveVersion(ctx context.Context, key origin.Key) error
	// RemoveVersion has no effect, at whatever time it is executed, if something was written after end.
	RemoveVersion(ctx context.Context, key origin.Key, end int64) error
	// SavedVersions returns the versions, and the position behind what was written up to the call.
	SavedVersions(ctx context.Context) (keys []origin.Key, end int64, err error)
	// SaveVersionsEra saves the era of the store in which all versions were last known to be saved, and VersionsEra returns it, 0
	// for none. A store that was restored from a copy since has a higher one.
	SaveVersionsEra(ctx context.Context, era uint64) error
	VersionsEra(ctx context.Context) (uint64, error)
}

const (
	// versionInterval is the time between two comparisons of the versions with what is stored.
	versionInterval = 250 * time.Millisecond
	// shortVersionInterval is that time while requests wait for the result.
	shortVersionInterval = 100 * time.Millisecond
	// versionCallTimeout bounds the calls to the store in one interval.
	versionCallTimeout = time.Second
	// reloadInterval is the time between two loads from a store that is not known to hold all versions.
	reloadInterval = 5 * time.Second
	// maxVersionWrites bounds the writes to the store in one interval.
	maxVersionWrites = 4
)

// versionKeeper makes known to this daemon which versions are saved in the store, and saves new ones if this daemon is the one
// of the fleet that writes. Two daemons may do so for a while; they write the same.
type versionKeeper struct {
	store     VersionStore
	saved     origin.Saved // nil until loaded
	era       uint64       // of the store when saved was loaded
	wholeEra  uint64       // in which all versions were last known to be saved; 0 if that is not known
	loadAfter time.Time    // earliest time at which what is saved may be loaded
	nextLoad  time.Time    // earliest time of another load by a daemon that lacks versions

	listed    *listedVersions // what the log of the store held in listedEra, nil if it was not read
	listedEra uint64

	removeAfter time.Time // earliest time of the next removal; zero if end is not known
	end         int64     // see VersionStore.RemoveVersion
}

// runVersionKeeper runs the keeper until the context ends.
func (g *Gateway) runVersionKeeper(ctx context.Context) {
	k := &versionKeeper{store: g.platform.Versions}
	for {
		wait := shortVersionInterval
		if g.reader.ServersListed() {
			callCtx, cancel := context.WithTimeout(ctx, versionCallTimeout)
			incomplete, err := g.keepVersions(callCtx, k, time.Now())
			cancel()
			if err != nil {
				g.logger.Warn("Versions of services were not loaded or saved.", "error", err)
				k.saved = nil // load again
			}
			if !incomplete || err != nil {
				wait = versionInterval
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// keepVersions loads what is saved, or asks peers for it, and saves what is new. It reports whether requests may wait for what it
// has not got yet.
func (g *Gateway) keepVersions(ctx context.Context, k *versionKeeper, now time.Time) (incomplete bool, err error) {
	if era := g.storeEra(); era != k.era {
		if k.era != 0 { // the copy may lack the last versions, until they are saved and servers are registered again
			g.origins.setAllSaved(nil)
			k.saved, k.loadAfter = nil, now.Add(origin.BeginDelay)
		}
		k.era = era
	}
	known, complete := g.origins.versionsInUse(now)
	services := resumableServices(g.topology.Config())
	if len(services) > 0 {
		services[routesService] = true
	}
	writes := g.writesStore()
	if !writes {
		k.saved = nil // another daemon may remove versions
	}
	knowsSaved := k.saved != nil
	if knowsSaved {
		g.origins.setAllSaved(k.saved) // peers may know less
	}
	unsaved, waiting := g.origins.unsavedVersions(services, now)
	if now.Before(k.loadAfter) {
		return true, nil
	}
	if !complete || waiting && !writes {
		g.origins.askVersions() // who may also know since when versions are in use
	}
	if g.readsStore() && !g.member().StoreLost && (!complete && !now.Before(k.nextLoad) || writes && k.saved == nil) {
		if err := g.loadVersions(ctx, k, writes); err != nil {
			return true, err
		}
	}
	if writes && k.saved != nil {
		if err := g.saveVersions(ctx, k, unsaved, now); err != nil {
			return true, err
		}
		if expired := k.saved.Expired(known, now); complete && len(expired) > 0 {
			if err := g.removeVersion(ctx, k, expired[0], now); err != nil {
				return true, err
			}
		}
	}
	if writes && knowsSaved && complete && len(unsaved) == 0 && k.era == g.storeEra() && k.wholeEra != k.era {
		if err := g.saveVersionsEra(ctx, k); err != nil {
			return true, err
		}
	}
	return !complete && !now.Before(k.nextLoad) || waiting, nil
}

// loadVersions loads what is saved. Unless the store is known to hold all versions since it was last restored, they are not taken
// for all that were in use. A store without any is so once the daemon that writes could write to it, if the log tells what was listed
// before or the whole system may start for the first time. writes states that this daemon does, and so knows what stays there.
func (g *Gateway) loadVersions(ctx context.Context, k *versionKeeper, writes bool) error {
	started := time.Now()
	wholeEra, err := k.store.VersionsEra(ctx)
	if err != nil {
		return err
	}
	era := g.storeEra()
	keys, _, err := k.store.SavedVersions(ctx)
	if err != nil {
		return err
	}
	takesOver := writes && k.saved == nil
	if takesOver && len(keys) > 0 { // a removal without an answer may be executed later, unless something was written since
		if err := k.store.SaveVersion(ctx, keys[0]); err != nil {
			return errors.Wrap(err, "write before versions are loaded")
		}
		if keys, _, err = k.store.SavedVersions(ctx); err != nil {
			return err
		}
	}
	blank, listed := wholeEra == 0 && len(keys) == 0, false // a new store, or one that took no writes
	var uses []origin.Use
	if takesOver && blank && g.platform.Store != nil {
		if k.listed == nil || k.listedEra != era {
			k.listed, k.listedEra = newListedVersions(), era
		}
		if uses, listed, err = k.listed.read(ctx, g.platform.Store, started); err != nil {
			return err
		}
	}
	now := time.Now()
	if now.Sub(started) > versionCallTimeout {
		return errors.New("the answer of the store is too old")
	}
	saved := make(origin.Saved, len(keys))
	for _, key := range keys {
		uses = append(uses, origin.Use{Service: key.Service, Version: key.Version, FirstSeen: now, LastSeen: now})
		saved[key] = now
	}
	if k.era == 0 {
		k.era = era
	}
	if g.storeEra() != k.era {
		return errors.New("the store was restored while versions were loaded")
	}
	k.wholeEra = wholeEra
	whole := wholeEra == k.era
	if blank {
		if err := g.saveUnlisted(ctx, k, uses, saved, now); err != nil {
			return err
		}
		if whole = takesOver && (listed || !g.settings.StartedBefore); whole { // before others are saved, so that those who load it trust it
			if err := g.saveVersionsEra(ctx, k); err != nil {
				return err
			}
		}
	}
	if !whole {
		k.nextLoad = now.Add(reloadInterval)
	}
	g.origins.mergeVersions(uses, whole, now)
	k.listed = nil
	if takesOver {
		k.saved, k.removeAfter = saved, time.Time{}
		g.origins.setAllSaved(saved)
	}
	g.logger.Info("Versions of services loaded.", "versions", len(keys), "whole", whole)
	return nil
}

// saveUnlisted saves the versions that this daemon has not seen in use itself, and adds them to saved.
func (g *Gateway) saveUnlisted(ctx context.Context, k *versionKeeper, uses []origin.Use, saved origin.Saved, now time.Time) error {
	known, _ := g.origins.versionsInUse(now)
	services := resumableServices(g.topology.Config())
	for _, use := range uses {
		key := origin.Key{Service: use.Service, Version: use.Version}
		seen := slices.ContainsFunc(known, func(u origin.Use) bool { return u.Service == use.Service && u.Version == use.Version })
		if seen || use.Service != routesService && !services[use.Service] {
			continue
		}
		if err := k.store.SaveVersion(ctx, key); err != nil {
			return errors.Wrapf(err, "save version %q of service %q", key.Version, key.Service)
		}
		saved[key] = now
	}
	return nil
}

// saveVersionsEra saves that the store holds all versions.
func (g *Gateway) saveVersionsEra(ctx context.Context, k *versionKeeper) error {
	if err := k.store.SaveVersionsEra(ctx, k.era); err != nil {
		return errors.Wrap(err, "save the era of the versions")
	}
	k.wholeEra = k.era
	return nil
}

// saveVersions saves versions.
func (g *Gateway) saveVersions(ctx context.Context, k *versionKeeper, unsaved []origin.Use, now time.Time) error {
	writes := 0
	for _, use := range unsaved {
		key := origin.Key{Service: use.Service, Version: use.Version}
		if _, ok := k.saved[key]; !ok {
			if writes == maxVersionWrites {
				break
			}
			writes++
			k.removeAfter = time.Time{}
			if err := k.store.SaveVersion(ctx, key); err != nil {
				return errors.Wrapf(err, "save version %q of service %q", key.Version, key.Service)
			}
			g.logger.Info("Version of a service saved.", "service", key.Service, "version", key.Version)
		}
		k.saved[key] = now
		g.origins.setSaved(key, true)
	}
	return nil
}

// removeVersion removes a version that has not been in use for long, unless something is written until all daemons that write have
// a list in which it would stand.
func (g *Gateway) removeVersion(ctx context.Context, k *versionKeeper, key origin.Key, now time.Time) (err error) {
	if k.removeAfter.IsZero() {
		if _, k.end, err = k.store.SavedVersions(ctx); err != nil {
			return err
		}
		k.removeAfter = now.Add(origin.MaxListAge)
	}
	if now.Before(k.removeAfter) {
		return nil
	}
	k.removeAfter = time.Time{}
	delete(k.saved, key) // it may be executed without an answer
	g.origins.setSaved(key, false)
	return errors.Wrapf(k.store.RemoveVersion(ctx, key, k.end), "remove version %q of service %q", key.Version, key.Service)
}

// resumableServices returns the services whose streams may be taken up.
func resumableServices(c *routing.Config) map[string]bool {
	services := make(map[string]bool)
	if c == nil {
		return services
	}
	for _, route := range c.Routes {
		if !resumable(&route) {
			continue
		}
		for _, target := range route.Targets {
			services[target.Service] = true
		}
	}
	return services
}

func resumable(r *routing.Route) bool { return r.Kind == routing.Stream && r.Resumable }

// mayBeginStreams reports whether streams of each service may begin, at one version at least.
func (g *Gateway) mayBeginStreams(now time.Time) bool {
	for service := range resumableServices(g.topology.Config()) {
		if g.origins.allExcluded(service, now) {
			return false
		}
	}
	return true
}
