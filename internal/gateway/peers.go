package gateway

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/steady"
	"github.com/filbertrill/filbertrill/internal/topology"
)

const (
	// minReaders is the number of daemons that read the store in a fleet of one zone; in
	// others one in each zone does.
	minStoreReaders = 2
	// pullPause is the least time between two pulls.
	minPullInterval = 100 * time.Millisecond
	// fruitlessPause is the time to the next pull for the list of servers after one that has
	// changed nothing: the difference is one that lists do not settle, such as a withdrawal
	// that the peer has not heard of. It is less than the users' bound of 3 s on such news.
	unchangedPullDelay = time.Second
)

func (g *Gateway) member() *pb.Member {
	return &pb.Member{
		Id:             g.settings.ID,
		Zone:           g.settings.Zone,
		Region:         g.settings.Region,
		EntryAddress:   g.settings.EntryAddress,
		ControlAddress: g.settings.ControlAddress,
		Draining:       !g.ready(),
		Strained:       g.overload.overloaded.Load(),
		Processor:      float32(g.settings.CPUCores),
		StoreLost:      g.reader.Troubled(time.Now()),
		KnowsPrompts:   g.cachedPartsKnown.Load(),
	}
}

// onDuty reports whether this daemon reads the store for others.
func (g *Gateway) readsStore() bool { return isStoreReader(g.member(), g.exchange.Members()) }

// readsStore reports whether the daemon is one of those that read the store: the first ones
// of its zone that the store answers.
func isStoreReader(self *pb.Member, peers []*pb.Member) bool {
	zones := map[string]bool{self.Zone: true}
	lowerIDs := 0
	for _, m := range peers {
		zones[m.Zone] = true
		if m.Zone == self.Zone && m.Id < self.Id && !m.Draining && !m.StoreLost {
			lowerIDs++
		}
	}
	return lowerIDs == 0 || (len(zones) == 1 && lowerIDs < minStoreReaders)
}

// zoneSize returns the number of live daemons of the zone, this one included.
func zoneSize(zone string, peers []*pb.Member) int {
	size := 1
	for _, m := range peers {
		if m.Zone == zone {
			size++
		}
	}
	return size
}

// view is what peers receive.
func (g *Gateway) viewMessage() *pb.View {
	now := time.Now()
	v := encodeView(g.pilot.View(now))
	for _, w := range g.topology.Withdrawals(now) {
		v.Withdrawn = append(v.Withdrawn, &pb.Withdrawal{
			Server: w.ID, Born: w.Born, Sequence: w.Sequence, AgeMs: ageMillis(now.Sub(w.At)),
		})
	}
	known := g.reader.Known(now)
	v.ConfigVersion, v.ConfigAgeMs = known.Version, ageMillis(known.ConfigAge)
	v.ServerDigest, v.ServerAgeMs = known.Digest, ageMillis(known.ServerAge)
	return v
}

// ageMs rounds an age up to milliseconds, at most an hour of them.
func ageMillis(age time.Duration) uint32 {
	return uint32((min(max(age, 0), time.Hour) + time.Millisecond - 1).Milliseconds())
}

// received takes the view of a peer or of a zone.
func (g *Gateway) receiveView(from string, source *pb.Member, v *pb.View) {
	now := time.Now()
	g.pilot.SetPeer(from, decodeView(v), now)
	timeOf := func(ageMillis uint32) time.Time { return now.Add(-time.Duration(ageMillis) * time.Millisecond) }
	for _, w := range v.Withdrawn {
		if g.topology.Withdraw(topology.Withdrawal{ID: w.Server, Born: w.Born, Sequence: w.Sequence, At: timeOf(w.AgeMs)}) {
			g.logger.Info("Server withdrawn by a peer.", "server", w.Server, "peer", from)
		}
	}
	outdated := false
	switch version := g.configVersion(); {
	case v.ConfigVersion > version:
		outdated = true
	case v.ConfigVersion == version && version > 0:
		g.reader.Confirm(topology.Configs, timeOf(v.ConfigAgeMs))
	}
	if v.ServerDigest == g.topology.Digest() {
		g.reader.Confirm(topology.Servers, timeOf(v.ServerAgeMs))
	} else if g.reader.Newer(topology.Servers, timeOf(v.ServerAgeMs)) && steady.UnixNano(now) > g.nextServerPull.Load() {
		outdated = true
	}
	if outdated && g.pullInProgress.CompareAndSwap(false, true) {
		go g.pullRecords(source, timeOf(v.ServerAgeMs))
	}
}

func (g *Gateway) configVersion() uint64 {
	if c := g.topology.Config(); c != nil {
		return c.Version
	}
	return 0
}

// pull takes the records of a peer that knows more.
func (g *Gateway) pullRecords(source *pb.Member, listedAt time.Time) {
	defer func() {
		time.Sleep(minPullInterval)
		g.pullInProgress.Store(false)
	}()
	digestBefore := g.topology.Digest()
	records, err := g.exchange.Pull(context.Background(), source.ControlAddress)
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
	g.reader.ApplyList(servers, listedAt, time.Now())
	if g.topology.Digest() == digestBefore {
		g.nextServerPull.Store(steady.UnixNano(time.Now().Add(unchangedPullDelay)))
	}
	g.logger.Info("Records pulled.", "peer", source.Id, "version", g.configVersion(), "servers", len(servers))
}

// records are what peers pull.
func (g *Gateway) recordsMessage() *pb.Records {
	key, config := g.topology.ConfigRecord()
	out := &pb.Records{ConfigKey: key, Config: config}
	for key, value := range g.topology.Records() {
		out.Servers = append(out.Servers, &pb.ServerRecord{Key: key, Value: value})
	}
	return out
}
