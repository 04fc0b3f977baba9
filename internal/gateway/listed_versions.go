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

// listedVersions reads which versions the log of the store holds. Reads that failed are continued by the next call.
type listedVersions struct {
	found map[origin.Key]bool
	logs  map[topology.Topic]*logReads
}

// logReads is how far the log of a topic was read.
type logReads struct {
	next  int64
	reads int
	ended bool // the end was reached before: records that were added since are read, whatever their number
}

func newListedVersions() *listedVersions {
	return &listedVersions{
		found: make(map[origin.Key]bool),
		logs:  map[topology.Topic]*logReads{topology.Servers: {}, topology.Configs: {}},
	}
}

// read returns the versions of all servers, and of the routes of all configurations, that the log of the store holds.
// ok is false if the log does not hold its first records any more, or is too long.
func (l *listedVersions) read(ctx context.Context, store topology.Store, now time.Time) (uses []origin.Use, ok bool, err error) {
	for topic, add := range map[topology.Topic]func(topology.Record){
		topology.Servers: func(r topology.Record) {
			if server, err := store.DecodeServer(r); err == nil {
				l.found[origin.Key{Service: server.Service, Version: server.Version}] = true
			}
		},
		topology.Configs: func(r topology.Record) {
			if config, err := store.DecodeConfig(r); err == nil && config != nil && len(resumableServices(config)) > 0 {
				l.found[origin.Key{Service: routesService, Version: digestRoutes(config)}] = true
			}
		},
	} {
		if ok, err = l.logs[topic].read(ctx, store, topic, add); !ok || err != nil {
			return nil, false, err
		}
	}
	for key := range l.found {
		uses = append(uses, origin.Use{Service: key.Service, Version: key.Version, FirstSeen: now, LastSeen: now})
	}
	return uses, true, nil
}

// read calls add with all further records of the topic's log that have a value. ok is as in listedVersions.read.
func (l *logReads) read(ctx context.Context, store topology.Store, topic topology.Topic, add func(topology.Record)) (ok bool, err error) {
	for l.ended || l.reads < maxLogReads {
		records, end, err := store.Read(ctx, topic, l.next, 0)
		switch {
		case errors.Is(err, topology.ErrTruncated):
			l.ended, l.reads = false, maxLogReads
			return false, nil
		case err != nil:
			return false, errors.Wrap(err, "read what was listed")
		case len(records) == 0:
			l.ended = true
			return true, nil
		}
		for _, r := range records {
			if r.Value != nil {
				add(r)
			}
		}
		l.next = end
		l.reads++
	}
	return false, nil
}
