package gateway

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/monotonic"
	"github.com/filbertrill/filbertrill/internal/topology"
)

const (
	// minReaders is the number of daemons that read the store in a fleet of one zone; in
	// others one in each zone does.
	minReaders = 2
	// pullPause is the least time between two pulls.
	pullPause = 100 * time.Millisecond
	// fruitlessPause is the time to the next pull for the list of servers after one that has
	// changed nothing: the difference is one that lists do not settle, such as a withdrawal
	// that the peer has not heard of. It is less than the users' bound of 3 s on such news.
	fruitlessPause = time.Second
)

func (g *Gateway) member() *pb.Member {
	return &pb.Member{
		Id:             g.settings.ID,
		Zone:           g.settings.Zone,
		Region:         g.settings.Region,
		EntryAddress:   g.settings.Entry,
		ControlAddress: g.settings.Control,
		Draining:       !g.ready(),
		Strained:       g.strain.strained.Load(),
		Processor:      float32(g.settings.Processor),
		StoreLost:      g.reader.StoreUnreachable(time.Now()),
		KnowsPrompts:   g.knowsPrompts.Load(),
	}
}

// onDuty reports whether this daemon reads the store for others.
func (g *Gateway) onDuty() bool { return readsStore(g.member(), g.exchange.Members()) }

// readsStore reports whether the daemon is one of those that read the store: the first ones
// of its zone that the store answers.
func readsStore(self *pb.Member, others []*pb.Member) bool {
	zones := map[string]bool{self.Zone: true}
	rank := 0
	for _, m := range others {
		zones[m.Zone] = true
		if m.Zone == self.Zone && m.Id < self.Id && !m.Draining && !m.StoreLost {
			rank++
		}
	}
	return rank == 0 || (len(zones) == 1 && rank < minReaders)
}

// zoneSize returns the number of live daemons of the zone, this one included.
func zoneSize(zone string, others []*pb.Member) int {
	size := 1
	for _, m := range others {
		if m.Zone == zone {
			size++
		}
	}
	return size
}

// view is what peers receive.
func (g *Gateway) view() *pb.View {
	now := time.Now()
	v := encodeView(g.pilot.View(now))
	for _, w := range g.topology.Withdrawals(now) {
		v.Withdrawn = append(v.Withdrawn, &pb.Withdrawal{
			Server: w.ID, Born: w.Incarnation, Sequence: w.Sequence, AgeMs: ageMs(now.Sub(w.FirstSeen)),
		})
	}
	known := g.reader.Freshness(now)
	v.ConfigVersion, v.ConfigAgeMs = known.ConfigVersion, ageMs(known.ConfigAge)
	v.ServerDigest, v.ServerAgeMs = known.ServerDigest, ageMs(known.ServerAge)
	return v
}

// ageMs rounds an age up to milliseconds, at most an hour of them.
func ageMs(age time.Duration) uint32 {
	return uint32((min(max(age, 0), time.Hour) + time.Millisecond - 1).Milliseconds())
}

// received takes the view of a peer or of a zone.
func (g *Gateway) received(from string, source *pb.Member, v *pb.View) {
	now := time.Now()
	g.pilot.SetPeer(from, decodeView(v), now)
	age := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, w := range v.Withdrawn {
		if g.topology.Withdraw(topology.Withdrawal{ID: w.Server, Incarnation: w.Born, Sequence: w.Sequence, FirstSeen: age(w.AgeMs)}) {
			g.logger.Info("Server withdrawn by a peer.", "server", w.Server, "peer", from)
		}
	}
	behind := false
	switch version := g.version(); {
	case v.ConfigVersion > version:
		behind = true
	case v.ConfigVersion == version && version > 0:
		g.reader.Confirm(topology.Configs, age(v.ConfigAgeMs))
	}
	if v.ServerDigest == g.topology.Digest() {
		g.reader.Confirm(topology.Servers, age(v.ServerAgeMs))
	} else if g.reader.Newer(topology.Servers, age(v.ServerAgeMs)) && monotonic.UnixNano(now) > g.pullAfter.Load() {
		behind = true
	}
	if behind && g.pulling.CompareAndSwap(false, true) {
		go g.pull(source, age(v.ServerAgeMs))
	}
}

func (g *Gateway) version() uint64 {
	if c := g.topology.Config(); c != nil {
		return c.Version
	}
	return 0
}

// pull takes the records of a peer that knows more.
func (g *Gateway) pull(source *pb.Member, listed time.Time) {
	defer func() {
		time.Sleep(pullPause)
		g.pulling.Store(false)
	}()
	before := g.topology.Digest()
	records, err := g.exchange.PullRecords(context.Background(), source.ControlAddress)
	if err != nil {
		g.logger.Warn("Records not pulled.", "peer", source.Id, "error", err)
		return
	}
	if len(records.Config) > 0 {
		g.reader.ApplyConfig(topology.Record{Key: records.ConfigKey, Value: records.Config})
	}
	servers := make([]topology.Record, 0, len(records.Servers))
	for _, r := range records.Servers {
		servers = append(servers, topology.Record{Key: r.Key, Value: r.Value})
	}
	g.reader.ApplyServerList(servers, listed, time.Now())
	if g.topology.Digest() == before {
		g.pullAfter.Store(monotonic.UnixNano(time.Now().Add(fruitlessPause)))
	}
	g.logger.Info("Records pulled.", "peer", source.Id, "version", g.version(), "servers", len(servers))
}

// records are what peers pull.
func (g *Gateway) records() *pb.Records {
	key, config := g.topology.ConfigRecord()
	out := &pb.Records{ConfigKey: key, Config: config}
	for key, value := range g.topology.Records() {
		out.Servers = append(out.Servers, &pb.ServerRecord{Key: key, Value: value})
	}
	return out
}
