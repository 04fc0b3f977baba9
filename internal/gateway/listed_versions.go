package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/topology"
)

// maxLogReads limits the reads of one topic by readListedVersions.
const maxLogReads = 32

// readListedVersions returns the versions of all servers, and of the routes of all configurations, that the log of the store holds.
// ok is false if the log does not hold its first records any more, or is too long.
func readListedVersions(ctx context.Context, store topology.Store, now time.Time) (uses []origin.Use, ok bool, err error) {
	found := make(map[origin.Key]bool)
	for topic, add := range map[topology.Topic]func(topology.Record){
		topology.Servers: func(r topology.Record) {
			if server, err := store.DecodeServer(r); err == nil {
				found[origin.Key{Service: server.Service, Version: server.Version}] = true
			}
		},
		topology.Configs: func(r topology.Record) {
			if config, err := store.DecodeConfig(r); err == nil && config != nil && len(resumableServices(config)) > 0 {
				found[origin.Key{Service: routesService, Version: digestRoutes(config)}] = true
			}
		},
	} {
		if ok, err = readLog(ctx, store, topic, add); !ok || err != nil {
			return nil, false, err
		}
	}
	for key := range found {
		uses = append(uses, origin.Use{Service: key.Service, Version: key.Version, FirstSeen: now, LastSeen: now})
	}
	return uses, true, nil
}

// readLog calls add with all records of the topic's log that have a value. ok is as in readListedVersions.
func readLog(ctx context.Context, store topology.Store, topic topology.Topic, add func(topology.Record)) (ok bool, err error) {
	next := int64(0)
	for range maxLogReads {
		records, end, err := store.Read(ctx, topic, next, 0)
		switch {
		case errors.Is(err, topology.ErrTruncated):
			return false, nil
		case err != nil:
			return false, errors.Wrap(err, "read what was listed")
		case len(records) == 0:
			return true, nil
		}
		for _, r := range records {
			if r.Value != nil {
				add(r)
			}
		}
		next = end
	}
	return false, nil
}
