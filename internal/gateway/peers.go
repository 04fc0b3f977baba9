package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/monotonic"
	"github.com/filbertrill/filbertrill/internal/topology"
)

const (
	// minStoreReaders is the number of daemons that read the store in a fleet of one zone. In
	// larger fleets one daemon in each zone reads it.
	minStoreReaders = 2
	// minPullInterval is the minimum time between two pulls of records.
	minPullInterval = 100 * time.Millisecond
	// unchangedPullDelay is the minimum time to the next pull of the list of servers after a
	// pull that changed nothing. Further pulls would not resolve the difference either, for
	// instance because the peer has not received a withdrawal yet. The delay is shorter than
	// the 3 s within which users require such changes to be known.
	unchangedPullDelay = time.Second
)

// member describes this daemon to its peers.
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
		StoreLost:      g.reader.StoreUnreachable(time.Now()),
		KnowsPrompts:   g.cachedPartsKnown.Load(),
	}
}

// readsStore reports whether this daemon reads the store on behalf of its peers. It implements
// topology.ReaderOptions.ReadsStore.
func (g *Gateway) readsStore() bool { return isStoreReader(g.member(), g.exchange.Members()) }

// isStoreReader reports whether the daemon self reads the store: no daemon of its zone with a
// lower ID does, or, in a fleet of one zone, fewer than minStoreReaders do. Daemons that are
// draining or can't reach the store don't count. A reader that can't reach the store keeps
// trying, to notice when the store answers again.
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

// viewMessage returns the view that is sent to peers, with the placements of the last placementAge.
func (g *Gateway) viewMessage(placementAge time.Duration) *pb.View {
	now := time.Now()
	g.publishQuarantine()
	v := encodeView(g.scheduler.View(placementAge, now))
	for _, w := range g.topology.Withdrawals(now) {
		v.Withdrawn = append(v.Withdrawn, &pb.Withdrawal{
			Server: w.ID, Born: w.Incarnation, Sequence: w.Sequence, AgeMs: ageMillis(now.Sub(w.FirstSeen)),
		})
	}
	known := g.reader.Freshness(now)
	v.ConfigVersion, v.ConfigAgeMs = known.ConfigVersion, ageMillis(known.ConfigAge)
	v.ServerDigest, v.ServerAgeMs = known.ServerDigest, ageMillis(known.ServerAge)
	v.StoreEra = g.storeEra()
	return v
}

// storeEra returns the highest era of the store that this daemon has seen or a peer has reported.
func (g *Gateway) storeEra() uint64 { return max(g.platform.Registry.Era(), g.peerStoreEra.Load()) }

// receiveStoreEra records the era that a peer has reported.
func (g *Gateway) receiveStoreEra(era uint64) {
	for {
		known := g.peerStoreEra.Load()
		if era <= known || g.peerStoreEra.CompareAndSwap(known, era) {
			return
		}
	}
}

func ageMillis(age time.Duration) uint32 { return exchange.AgeMillis(age) }

// receiveView applies the view of a peer or of a whole zone, and starts a pull from the source
// if that has newer records. It implements exchange.Options.OnView.
func (g *Gateway) receiveView(from string, source *pb.Member, v *pb.View) {
	now := time.Now()
	g.receiveStoreEra(v.StoreEra)
	zone, isZone := strings.CutPrefix(from, exchange.ZonePrefix)
	if !isZone {
		zone = ""
	}
	g.scheduler.SetPeer(from, decodeView(v, zone), now)
	timeOf := func(millis uint32) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for _, w := range v.Withdrawn {
		if g.topology.Withdraw(topology.Withdrawal{ID: w.Server, Incarnation: w.Born, Sequence: w.Sequence, FirstSeen: timeOf(w.AgeMs)}) {
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
	} else if g.reader.Newer(topology.Servers, timeOf(v.ServerAgeMs)) && monotonic.UnixNano(now) > g.nextServerPull.Load() {
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

// pullRecords gets and applies the configuration and the list of servers of a peer. listedAt
// is when the peer's list was known to be complete.
func (g *Gateway) pullRecords(source *pb.Member, listedAt time.Time) {
	defer func() {
		time.Sleep(minPullInterval)
		g.pullInProgress.Store(false)
	}()
	digestBefore := g.topology.Digest()
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
	g.reader.ApplyServerList(servers, listedAt, time.Now())
	if g.topology.Digest() == digestBefore {
		g.nextServerPull.Store(monotonic.UnixNano(time.Now().Add(unchangedPullDelay)))
	}
	g.logger.Info("Records pulled.", "peer", source.Id, "version", g.configVersion(), "servers", len(servers))
}

// recordsMessage returns the records that peers pull.
func (g *Gateway) recordsMessage() *pb.Records {
	key, config := g.topology.ConfigRecord()
	out := &pb.Records{ConfigKey: key, Config: config}
	for key, value := range g.topology.Records() {
		out.Servers = append(out.Servers, &pb.ServerRecord{Key: key, Value: value})
	}
	return out
}
