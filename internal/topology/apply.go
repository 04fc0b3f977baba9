package topology

import (
	"maps"
	"math"
	"slices"
	"time"
)

// apply applies records to the state. While the store recovers from an outage, deletions are left
// to the full listing at the end of the recovery: the leases of running servers may have expired.
// apply reports whether the last configuration in the records, if there is one, could be decoded. Invalid server records do not
// count: any program may have written them.
func (r *Reader) apply(t Topic, records []Record, now time.Time, recovering bool) bool {
	applied := true
	last := make(map[string]Record, len(records)) // by key
	for _, record := range records {
		last[record.Key] = record
	}
	for _, record := range records {
		switch {
		case t == Configs:
			if valid, isConfig := r.ApplyConfig(record); isConfig {
				applied = valid
			}
		case record.Value != nil:
			r.ApplyServer(record, now)
		case !recovering && !r.registersAgain(last[record.Key]): // what a peer has told of may be the next process
			if r.state.RemoveServer(record.Key, now) {
				r.logger.Info("Server removed.", "server", record.Key, "reason", "deleted")
			}
		}
	}
	return applied
}

// registersAgain reports whether the record, the last of its key, is that of a server.
func (r *Reader) registersAgain(last Record) bool {
	if last.Value == nil {
		return false
	}
	_, err := r.store.DecodeServer(last)
	return err == nil
}

// applyEvacuations applies the records of topic Configs up to the position. A full listing holds all evacuations.
func (r *Reader) applyEvacuations(records []Record, full bool, position Position) {
	zones := make(map[string]bool)
	if !full {
		for _, zone := range r.state.Evacuations().Zones {
			zones[zone] = true
		}
	}
	for _, record := range records {
		if zone, ok := r.store.DecodeEvacuation(record); ok {
			zones[zone] = record.Value != nil
		}
	}
	maps.DeleteFunc(zones, func(_ string, evacuated bool) bool { return !evacuated })
	r.ApplyEvacuations(Evacuations{Position: position, Zones: slices.Sorted(maps.Keys(zones))})
}

// ApplyEvacuations applies evacuations that the store or a peer has reported, unless newer ones are known.
func (r *Reader) ApplyEvacuations(e Evacuations) {
	before := r.state.Evacuations().Zones
	if r.state.SetEvacuations(e) && !slices.Equal(before, e.Zones) {
		r.logger.Info("Evacuations in force.", "zones", e.Zones, "before", before)
	}
}

// ApplyConfig decodes a record of topic Configs and applies it if its version is higher. isConfig is false for records of other
// keys and for removals. valid reports whether a configuration could be decoded.
func (r *Reader) ApplyConfig(record Record) (valid, isConfig bool) {
	if record.Value == nil {
		return false, false
	}
	if r.state.HasConfig(record) {
		return true, true
	}
	config, err := r.store.DecodeConfig(record)
	if err != nil {
		r.logger.Warn("Invalid configuration ignored.", "key", record.Key, "error", err)
		return false, true
	}
	if config != nil && r.state.SetConfig(config, record) {
		r.logger.Info("Configuration in force.", "version", config.Version, "routes", len(config.Routes),
			"accounts", len(config.Accounts))
	}
	return true, config != nil
}

// ApplyServer decodes the record of a backend server and applies it if it is newer.
func (r *Reader) ApplyServer(record Record, now time.Time) {
	if r.state.HasServer(record) {
		return // decoding all records of each list took most of the time of a pull
	}
	server, err := r.store.DecodeServer(record)
	if err != nil {
		r.logger.Debug("Invalid server record ignored.", "key", record.Key, "error", err)
		return
	}
	if !r.state.setServer(server, record.Value, record.Source, now.Add(-record.Age)) {
		return
	}
	switch n := r.loggedChanges.Add(1); {
	case n <= maxLoggedChanges:
		r.logger.Info("Server changed.", "server", server.ID, "service", server.Service, "address", server.Address,
			"state", server.State, "born", server.Incarnation, "cold", server.ColdRemaining, "version", server.Version,
			"source", record.Source, "age", record.Age)
	case n == maxLoggedChanges+1:
		r.logger.Info("Further servers changed.", "records", r.state.Size())
	}
}

// reconcile removes and returns the servers that are missing from a full listing, complete at listedAt, or from one of the buckets if
// they are not nil. Within the grace period after the store recovered, missing servers are kept.
func (r *Reader) reconcile(records []Record, buckets []uint32, listedAt, now, recoveredAt time.Time) []Withdrawal {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Key] = true
	}
	gracePeriod := time.Duration(0)
	if now.Sub(recoveredAt) < recoveryGracePeriod {
		gracePeriod = math.MaxInt64 // those that were missing before the outage may not have had the time to register again either
	}
	missing, removed := r.state.RemoveMissing(listed, buckets, gracePeriod, listedAt, now)
	if gracePeriod > 0 && len(missing) > 0 {
		r.logger.Info("Servers are missing in the list after an outage of the store.", "servers", missing[:min(len(missing), maxLoggedChanges)],
			"count", len(missing), "list", now.Sub(listedAt), "recovered", now.Sub(recoveredAt))
	}
	for id, missingFor := range removed {
		if r.loggedChanges.Add(1) > maxLoggedChanges {
			break
		}
		r.logger.Info("Server removed.", "server", id, "reason", "missing", "since", missingFor, "list", now.Sub(listedAt))
	}
	return r.state.withdrawalsOf(removed)
}
