package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// QuarantineStore keeps the evidence against suspects, for the case that all daemons end at once.
type QuarantineStore interface {
	// SaveSuspect replaces the value that is stored for a suspect, or removes it if the value is nil.
	SaveSuspect(ctx context.Context, suspect string, value []byte) error
	// SavedSuspects returns the stored values by suspect.
	SavedSuspects(ctx context.Context) (map[string][]byte, error)
}

const (
	// quarantineSaveInterval is the time between two comparisons of the suspects with what is stored.
	quarantineSaveInterval = 500 * time.Millisecond
	// maxSavesPerInterval bounds the writes to the store.
	maxSavesPerInterval = 4
	// quarantineCallTimeout bounds the calls to the store in one interval.
	quarantineCallTimeout = time.Second
	// maxSuspectBytes limits the stored evidence against one suspect. With 32 ended servers it has some 700 bytes.
	maxSuspectBytes = 2 << 10
	// maxLoadedSuspects limits the suspects that are loaded.
	maxLoadedSuspects = 512
	// maxSuspectsWait is the longest time for which a daemon that is ready otherwise waits for the stored evidence.
	maxSuspectsWait = 5 * time.Second
)

// quarantineKeeper loads the stored evidence at the start of the daemon, and keeps the store up to date
// if this daemon is the one of the fleet that writes. Two daemons may do so for a while; they write the same.
type quarantineKeeper struct {
	store  QuarantineStore
	saved  map[string]savedSuspect // nil until loaded
	era    uint64                  // of the store when saved was loaded
	writes bool                    // this daemon has been the one that writes since saved was loaded
}

// savedSuspect tells what of the evidence against a suspect is stored.
type savedSuspect struct{ ends, trials int }

// runQuarantineKeeper runs the keeper until the context ends.
func (g *Gateway) runQuarantineKeeper(ctx context.Context) {
	k := &quarantineKeeper{store: g.platform.Quarantine}
	var readySince time.Time
	for {
		if (g.readsStore() || !g.suspectsKnown.Load()) && !g.member().StoreLost {
			callCtx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
			if err := g.keepQuarantine(callCtx, k); err != nil {
				g.logger.Warn("Evidence against suspects was not loaded or saved.", "error", err)
				k.saved = nil // load again
			}
			cancel()
		}
		switch now := time.Now(); {
		case !g.ready():
		case readySince.IsZero():
			readySince = now
		case now.Sub(readySince) > maxSuspectsWait && g.suspectsKnown.CompareAndSwap(false, true):
			g.logger.Warn("Ready without the stored evidence against suspects.")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(quarantineSaveInterval):
		}
	}
}

// keepQuarantine loads what is stored, once, after the store was restored from a copy and when this daemon becomes the one that
// writes, and saves what has changed.
func (g *Gateway) keepQuarantine(ctx context.Context, k *quarantineKeeper) error {
	era, writes := g.storeEra(), g.writesStore()
	if k.saved == nil || era != k.era || writes && !k.writes {
		if err := g.loadQuarantine(ctx, k); err != nil {
			return err
		}
		k.era = era
	}
	k.writes = writes
	if !writes {
		return nil
	}
	return k.save(ctx, g.scheduler.QuarantineReports(time.Now()), time.Now())
}

// writesStore reports whether this daemon writes to the store what the fleet keeps there: it has the lowest ID of those that are
// ready and reach the store.
func (g *Gateway) writesStore() bool {
	for _, m := range g.exchange.Members() {
		if m.Id < g.settings.ID && !m.Draining && !m.StoreLost {
			return false
		}
	}
	return true
}

func (g *Gateway) loadQuarantine(ctx context.Context, k *quarantineKeeper) error {
	values, err := k.store.SavedSuspects(ctx)
	if err != nil {
		return err
	}
	k.saved = make(map[string]savedSuspect, len(values))
	var reports []quarantine.Report
	for suspect, value := range values {
		if len(value) > maxSuspectBytes || len(reports) == maxLoadedSuspects {
			g.logger.Warn("Stored evidence is too long.", "suspect", suspect, "bytes", len(value), "loaded", len(reports))
			continue
		}
		var stored pb.StoredSuspect
		if err := proto.Unmarshal(value, &stored); err != nil || stored.Suspect == nil {
			g.logger.Warn("Invalid stored evidence ignored.", "suspect", suspect, "error", err)
			continue
		}
		report := exchange.DecodeSuspect(stored.Suspect)
		report.AddAge(max(0, time.Since(time.UnixMilli(stored.SavedUnixMs))))
		reports = append(reports, report)
		k.saved[suspect] = savedSuspect{len(report.Ends), report.Trials}
	}
	if len(reports) > 0 {
		g.scheduler.MergeQuarantine(reports, time.Now())
		g.logger.Info("Evidence against suspects loaded.", "suspects", len(reports))
	}
	g.suspectsKnown.Store(true)
	return nil
}

// suspectKey returns the key of a suspect in the store. That of a prompt part is its hash alone.
func suspectKey(s quarantine.Subject) string {
	if s.Kind == quarantine.PromptPart {
		return formatHash(s.ID)
	}
	return s.Kind.String() + "-" + formatHash(s.ID)
}

// save writes the evidence that has changed, and removes that of subjects that are no longer suspected.
func (k *quarantineKeeper) save(ctx context.Context, suspects []quarantine.Report, now time.Time) error {
	writes := 0
	write := func(suspect string, value []byte) error {
		writes++
		return errors.Wrapf(k.store.SaveSuspect(ctx, suspect, value), "suspect %s", suspect)
	}
	suspected := make(map[string]bool, len(suspects))
	for _, report := range suspects {
		suspect := suspectKey(report.Subject)
		suspected[suspect] = true
		state := savedSuspect{len(report.Ends), report.Trials}
		if k.saved[suspect] == state || writes == maxSavesPerInterval {
			continue
		}
		value, err := proto.Marshal(&pb.StoredSuspect{Suspect: exchange.EncodeSuspect(report), SavedUnixMs: now.UnixMilli()})
		if err != nil {
			return errors.Wrap(err, "encode evidence")
		}
		if err := write(suspect, value); err != nil {
			return err
		}
		k.saved[suspect] = state
	}
	for suspect := range k.saved {
		if suspected[suspect] || writes == maxSavesPerInterval {
			continue
		}
		if err := write(suspect, nil); err != nil {
			return err
		}
		delete(k.saved, suspect)
	}
	return nil
}
