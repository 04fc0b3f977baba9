package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/monotonic"
	"github.com/filbertrill/filbertrill/internal/placement"
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
	// seedWait is how long a daemon that is no seed waits at its start for a peer's records before it reads the store
	// itself. Daemons that start together do so within 0.3 s, and a seed needs a few calls to the store. Otherwise all
	// daemons of a fleet list the store at once.
	seedWait = 800 * time.Millisecond
	// maxSeedWait is that time while peers are live, which have a list to pull as soon as one of them has read the store.
	maxSeedWait = 4 * time.Second
	// seedPollInterval is the time between two checks in that wait.
	seedPollInterval = 20 * time.Millisecond
)

// awaitPeers returns when the daemon has a configuration and servers, or should read the store itself for the first time.
func (g *Gateway) awaitPeers(ctx context.Context) {
	if len(g.settings.Seeds) == 0 || slices.Contains(g.settings.Seeds, g.settings.ControlAddress) {
		return
	}
	for started := time.Now(); g.topology.Config() == nil || !g.reader.ServersListed(); {
		waited := time.Since(started)
		if waited > maxSeedWait || (waited > seedWait && len(g.exchange.Members()) == 0) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(seedPollInterval):
		}
	}
}

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
		KnowsServers:   g.reader.ServersListed(),
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

// zoneRank returns the number of live daemons of the zone whose IDs come before this one's.
func zoneRank(self *pb.Member, peers []*pb.Member) int {
	rank := 0
	for _, m := range peers {
		if m.Zone == self.Zone && m.Id < self.Id {
			rank++
		}
	}
	return rank
}

// viewMessage returns the view that is sent to peers, with the placements of the last placementAge.
func (g *Gateway) viewMessage(placementAge time.Duration) *pb.View {
	now := time.Now()
	g.publishQuarantine()
	view := g.scheduler.View(placementAge, now)
	v := encodeView(view)
	v.Refused = encodeRefusals(view.Refusals, now)
	v.Withdrawn = append(v.Withdrawn, withdrawalMessages(g.topology.Withdrawals(now), now)...)
	if age := now.Sub(g.reader.Returned()); age < returnAdvertiseTTL {
		millis := ageMillis(age)
		v.StoreReturnAgeMs = &millis
	}
	known := g.reader.Freshness(now)
	v.ConfigVersion, v.ConfigAgeMs = known.ConfigVersion, ageMillis(known.ConfigAge)
	v.ServerDigest, v.ServerAgeMs = known.ServerDigest, ageMillis(known.ServerAge)
	v.StoreEra = g.storeEra()
	if e := g.topology.Evacuations(); e.Position != (topology.Position{}) {
		v.Evacuations = &pb.Evacuations{Era: e.Era, Offset: e.Offset, Zones: e.Zones}
	}
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

// receiveView applies the view of a peer or of a whole other zone. It implements exchange.Options.OnView.
func (g *Gateway) receiveView(from string, source *pb.Member, v *pb.View, age time.Duration) {
	now := time.Now()
	zone, isZone := strings.CutPrefix(from, exchange.ZonePrefix)
	if !isZone {
		zone = ""
	}
	view := decodeView(v, zone)
	view.Age = age
	g.scheduler.SetPeer(from, view, now)
	g.receiveKnowledge(from, source, v, now)
}

// receiveOwnZone applies the sum of the views of the other daemons of this one's zone. It implements
// exchange.Options.OnOwnZone.
func (g *Gateway) receiveOwnZone(source *pb.Member, v *pb.View, included []*pb.Included, age time.Duration) {
	now := time.Now()
	demands := make(map[uint64]map[uint64]float64)
	self := placement.Hash(g.settings.ID)
	for _, daemon := range included {
		if daemon.Member == self || len(daemon.Demands) == 0 {
			continue
		}
		byService := make(map[uint64]float64, len(daemon.Demands))
		for _, d := range daemon.Demands {
			byService[d.Service] = float64(d.PerSecond)
		}
		demands[daemon.Member] = byService
	}
	view := decodeView(v, "")
	view.Age = age
	g.scheduler.SetOwnZone(exchange.ZonePrefix+g.settings.Zone, view, demands, now)
	g.receiveKnowledge(source.Id, source, v, now)
}

// receiveKnowledge applies what a view says of the configuration and the servers, and starts a pull from the source if that
// has newer records.
func (g *Gateway) receiveKnowledge(from string, source *pb.Member, v *pb.View, now time.Time) {
	g.receiveStoreEra(v.StoreEra)
	g.receiveRefusals(v.Refused, now)
	g.reader.SeeEra(v.StoreEra, now)
	timeOf := func(millis uint32) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	g.receiveReturn(v.StoreReturnAgeMs, now)
	g.receiveWithdrawals(from, v.Withdrawn, now)
	if e := v.Evacuations; e != nil {
		g.reader.ApplyEvacuations(topology.Evacuations{Position: topology.Position{Era: e.Era, Offset: e.Offset}, Zones: e.Zones})
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

// fullListSource returns the daemon from which a daemon that has just started pulls its first list of servers: any of the
// zone of the source, or the source itself if it is the only one known to have a list. Daemons that start together would
// otherwise all pull it from the same few. random returns a number in [0, n).
func fullListSource(source *pb.Member, members []*pb.Member, random func(n int) int) *pb.Member {
	candidates := []*pb.Member{source}
	for _, m := range members {
		if m.Zone == source.Zone && m.KnowsServers && m.Id != source.Id {
			candidates = append(candidates, m)
		}
	}
	return candidates[random(len(candidates))]
}

func (g *Gateway) configVersion() uint64 {
	if c := g.topology.Config(); c != nil {
		return c.Version
	}
	return 0
}

// pullRecords gets and applies the configuration and the list of servers of a peer, or of another one if this daemon has no list.
// listedAt is when the peer's list was known to be complete.
func (g *Gateway) pullRecords(source *pb.Member, listedAt time.Time) {
	defer func() {
		time.Sleep(minPullInterval)
		g.pullInProgress.Store(false)
	}()
	digestBefore, listed := g.topology.Digest(), g.reader.ServersListed()
	from, received := source, 0
	for more := true; more; {
		if !listed {
			from = fullListSource(source, g.exchange.Members(), rand.IntN)
			if from.Id != source.Id {
				listedAt = time.Time{}
			}
		}
		digest := g.topology.Digest()
		var n int
		var err error
		if n, more, err = g.pullPart(from, listedAt); err != nil {
			g.logger.Warn("Records not pulled.", "peer", from.Id, "received", received, "error", err)
			return
		}
		received += n
		// Records that are older than this daemon's change nothing, and would be answered again for good.
		more = more && g.topology.Digest() != digest
	}
	if g.topology.Digest() == digestBefore && g.reader.ServersListed() {
		g.nextServerPull.Store(monotonic.UnixNano(time.Now().Add(unchangedPullDelay)))
	}
	g.logger.Info("Records pulled.", "peer", from.Id, "version", g.configVersion(), "servers", received)
}

// pullPart gets and applies what a peer has and this daemon lacks, or a part of it. listedAt is when the peer's list was known to be
// complete if the answer doesn't say it. pullPart returns the number of servers received.
func (g *Gateway) pullPart(source *pb.Member, listedAt time.Time) (received int, more bool, err error) {
	asked := time.Now()
	records, err := g.exchange.PullRecords(context.Background(), source.ControlAddress, &pb.PullRequest{
		ConfigVersion: g.configVersion(), BucketDigests: g.topology.BucketDigests(),
	})
	if err != nil {
		return 0, false, err
	}
	if len(records.Config) > 0 {
		g.reader.ApplyConfig(topology.Record{Key: records.ConfigKey, Value: records.Config})
	}
	servers := make([]topology.Record, 0, len(records.Servers))
	for _, r := range records.Servers {
		servers = append(servers, topology.Record{Key: r.Key, Value: r.Value, Age: time.Duration(r.AgeMs) * time.Millisecond, Source: source.Id})
	}
	var buckets []uint32 // nil for all
	if records.Partial {
		buckets = append([]uint32{}, records.Buckets...)
	}
	if records.ServerAgeMs != nil { // earlier versions don't set it
		listedAt = asked.Add(-time.Duration(*records.ServerAgeMs) * time.Millisecond)
		if *records.ServerAgeMs >= exchange.AgeMillis(exchange.MaxAge) {
			listedAt = time.Time{} // the peer has no list
		}
	}
	g.reader.ApplyServerList(servers, buckets, records.More, listedAt, time.Now())
	return len(servers), records.More, nil
}

// recordsMessage returns the records that a peer pulls, without those that it has.
func (g *Gateway) recordsMessage(request *pb.PullRequest) *pb.Records {
	// The age is read before the records, see topology.Reader.Freshness.
	age := exchange.AgeMillis(g.reader.Age(topology.Servers, time.Now()))
	out := &pb.Records{ServerAgeMs: &age}
	if g.configVersion() > request.ConfigVersion {
		out.ConfigKey, out.Config = g.topology.ConfigRecord()
	}
	var records []topology.Record
	if len(request.BucketDigests) == topology.BucketCount {
		out.Partial = true
		records, out.Buckets, out.More = g.topology.DifferingRecords(request.BucketDigests, rand.IntN(topology.BucketCount), time.Now())
	} else {
		records = g.topology.Records(time.Now())
	}
	for _, r := range records {
		out.Servers = append(out.Servers, &pb.ServerRecord{Key: r.Key, Value: r.Value, AgeMs: exchange.AgeMillis(r.Age)})
	}
	return out
}
