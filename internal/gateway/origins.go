package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// originReplicas is how many other daemons know the version of a stream, while versions are mixed.
	originReplicas = 3
	// originRepeatDelay is the time after which they are told once more, as datagrams may be lost.
	originRepeatDelay = 50 * time.Millisecond
	// ownRepeatDelay is the time after which they are told once more of the streams that began at the only version. A daemon that
	// has just started knows all members of the fleet by then.
	ownRepeatDelay = 1500 * time.Millisecond
	// originAsked is how many daemons are asked for it. The fleet may have changed since it was recorded.
	originAsked = 6
	// originAttemptTimeout is the time until they are asked again for the first time. It doubles with each attempt.
	originAttemptTimeout = 60 * time.Millisecond
	// maxOriginWait bounds the wait for answers: a daemon may be silent for a second. It is also bounded to a part of the time that the
	// request has left, as its caller may know more daemons, but not to less than minOriginWait.
	minOriginWait  = 120 * time.Millisecond
	maxOriginWait  = 1200 * time.Millisecond
	originWaitPart = 4
	// originBatch is the number of streams that one datagram tells of, and versionBatch that of versions.
	originBatch  = 100
	versionBatch = 500
	// versionsAsked is how many daemons are asked for the versions in use, each time.
	versionsAsked = 3
	// maxVersionsAge is the time within which an answer must arrive that tells all of them.
	maxVersionsAge = time.Second
)

// streamOrigins tells which software version began a stream, whichever daemon that was. It implements forward.Origins.
type streamOrigins struct {
	options originOptions

	mu           sync.Mutex
	table        *origin.Table
	versions     *origin.Versions
	config       *routing.Config            // in force
	routes       string                     // digest of its routes
	splits       bool                       // a route of streams leads to several services
	configs      map[string]*routing.Config // by digest of their routes: those in force within origin.TTL
	waiting      map[uint64]*originQuery    // by stream
	versionQuery uint64                     // identifies the last question for versions
	askedAt      time.Time                  // when it was sent
}

// originOptions are the dependencies of streamOrigins.
type originOptions struct {
	members func() []*pb.Member // other live daemons
	// listAsOf returns the time as of which the list of servers was last known to be complete, a time long ago before the first.
	listAsOf func(now time.Time) time.Time
	send     func(o *pb.Origins, controlAddresses ...string)
	logger   *slog.Logger
}

// originQuery is a question to peers. Several requests may wait for its end.
type originQuery struct {
	asked   map[string]bool // by control address; the value is true when the daemon has answered
	ended   chan struct{}   // closed when the origin is known, or all of them have answered that it is not
	waiters int
}

// answered reports whether all daemons that were asked have.
func (q *originQuery) answered() bool {
	for _, answered := range q.asked {
		if !answered {
			return false
		}
	}
	return true
}

func newStreamOrigins(options originOptions) *streamOrigins {
	return &streamOrigins{
		options: options, table: origin.NewTable(), versions: origin.NewVersions(), configs: make(map[string]*routing.Config),
		waiting: make(map[uint64]*originQuery),
	}
}

// setServers records the versions of the servers and the routes of the configuration, which may be nil. It must be called before
// requests are sent to them.
func (o *streamOrigins) setServers(servers []routing.Server, config *routing.Config, now time.Time) {
	asOf := o.options.listAsOf(now)
	o.mu.Lock()
	o.versions.SetListAge(asOf)
	if routes, ok := o.setConfig(config, now); ok {
		servers = append(slices.Clone(servers), routes)
	}
	mixed := o.versions.Update(servers, now)
	o.mu.Unlock()
	for _, service := range mixed {
		if service == routesService {
			o.options.logger.Info("Services of streams have changed.", "config", config.Version)
		} else {
			o.options.logger.Info("Several versions of a service are in use.", "service", service)
		}
		o.tellOwn(service)
		time.AfterFunc(ownRepeatDelay, func() { o.tellOwn(service) })
	}
}

// tellOwn tells peers of the streams of this daemon. Those that it began while there was one version were told to nobody then.
func (o *streamOrigins) tellOwn(service string) {
	o.mu.Lock()
	streams := o.table.Own(service, time.Now())
	o.mu.Unlock()
	batches := make(map[string][]*pb.StreamOrigin) // by control address
	members := o.options.members()
	for id, key := range streams {
		for _, address := range rankMembers(members, id, originReplicas) {
			batches[address] = append(batches[address], encodeOrigin(id, key))
		}
	}
	for address, records := range batches {
		for batch := range slices.Chunk(records, originBatch) {
			o.options.send(&pb.Origins{Records: batch}, address)
		}
	}
}

// Record implements forward.Origins.
func (o *streamOrigins) Record(service, attempt, version string) {
	id, now := placement.Hash(attempt), time.Now()
	o.mu.Lock()
	key := origin.Key{Service: service, Version: version}
	o.table.RecordOwn(id, key, now)
	mixed := o.versions.Mixed(service, now) || o.versions.Mixed(routesService, now) || o.splits
	o.mu.Unlock()
	if mixed {
		record := encodeOrigin(id, key)
		tell := func() {
			o.options.send(&pb.Origins{Records: []*pb.StreamOrigin{record}}, rankMembers(o.options.members(), id, originReplicas)...)
		}
		tell()
		time.AfterFunc(originRepeatDelay, tell)
	}
}

// RecordUnknown implements forward.Origins.
func (o *streamOrigins) RecordUnknown(service, attempt string) {
	id, now := placement.Hash(attempt), time.Now()
	o.mu.Lock()
	o.table.RecordConflict(id, now)
	o.mu.Unlock()
	o.options.logger.Info("Stream begins at an unknown version.", "service", service, "request", attempt)
}

func encodeOrigin(id uint64, key origin.Key) *pb.StreamOrigin {
	return &pb.StreamOrigin{Stream: id, Known: true, Service: key.Service, Version: key.Version}
}

func decodeOrigin(m *pb.StreamOrigin) origin.Key {
	return origin.Key{Service: m.Service, Version: m.Version}
}

// Excluded implements forward.Origins.
func (o *streamOrigins) Excluded(service string) []string {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Excluded(service, now)
}

// allExcluded reports whether the service has ready servers, but none at which a stream may begin now.
func (o *streamOrigins) allExcluded(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.AllExcluded(service, now)
}

// Find implements forward.Origins.
func (o *streamOrigins) Find(ctx context.Context, t forward.TakeUp) (service, version string, basis forward.OriginBasis) {
	leadsTo := func(key origin.Key) bool {
		return slices.ContainsFunc(t.Route.Targets, func(target routing.Target) bool { return target.Service == key.Service })
	}
	id := placement.Hash(t.Attempt)
	if t.Attempt != "" {
		if key, known, _ := o.lookup(id); known {
			if !leadsTo(key) { // also if it can't be determined
				return "", "", forward.OriginUnknown
			}
			return key.Service, key.Version, forward.OriginRecorded
		}
	}
	if key, ok := o.only(t); ok && leadsTo(key) {
		return key.Service, key.Version, forward.OriginConcluded
	}
	if t.Attempt == "" {
		return "", "", forward.OriginUnknown
	}
	o.query(ctx, id)
	key, known, _ := o.lookup(id)
	if !known || !leadsTo(key) {
		return "", "", forward.OriginUnknown
	}
	return key.Service, key.Version, forward.OriginAnswered
}

func (o *streamOrigins) lookup(id uint64) (key origin.Key, known, conflicting bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Lookup(id, time.Now())
}

// only returns the version at which all streams of the host and path have begun. ok is false if there are several, or if there may
// be others that this daemon doesn't know.
func (o *streamOrigins) only(t forward.TakeUp) (key origin.Key, ok bool) {
	now := time.Now()
	asOf := o.options.listAsOf(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.SetListAge(asOf)
	services, ok := o.services(t, now)
	if !ok || len(services) != 1 {
		return origin.Key{}, false
	}
	for service := range services {
		key.Service = service
	}
	key.Version, ok = o.versions.Only(key.Service, now)
	return key, ok
}

// query asks peers for the origin of a stream. It returns when it is known, when all of them have answered, or when they take too
// long. That none of them knows it says nothing: those that did may have ended.
func (o *streamOrigins) query(ctx context.Context, id uint64) {
	asked := rankMembers(o.options.members(), id, originAsked)
	if len(asked) == 0 {
		return
	}
	q := o.startQuery(id, asked)
	defer o.endQuery(id, q)
	ctx, cancel := context.WithTimeout(ctx, originWait(ctx))
	defer cancel()
	for timeout := originAttemptTimeout; ; timeout *= 2 {
		o.options.send(&pb.Origins{Queries: []uint64{id}}, asked...)
		select {
		case <-q.ended:
			return
		case <-ctx.Done():
			return
		case <-time.After(timeout):
		}
	}
}

// originWait returns the longest time for which a request with the context waits for answers.
func originWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxOriginWait
	}
	return min(max(time.Until(deadline)/originWaitPart, minOriginWait), maxOriginWait)
}

func (o *streamOrigins) startQuery(id uint64, asked []string) *originQuery {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.waiting[id]
	if !ok {
		q = &originQuery{asked: make(map[string]bool, len(asked)), ended: make(chan struct{})}
		for _, controlAddress := range asked {
			q.asked[controlAddress] = false
		}
		o.waiting[id] = q
	}
	q.waiters++
	return q
}

func (o *streamOrigins) endQuery(id uint64, q *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q.waiters--; q.waiters == 0 {
		delete(o.waiting, id)
	}
}

// handle applies a message of a peer and answers its queries.
func (o *streamOrigins) handle(message *pb.Origins) {
	now := time.Now()
	asOf := o.options.listAsOf(now)
	answer := &pb.Origins{}
	o.mu.Lock()
	for _, r := range message.Records {
		o.table.Record(r.Stream, decodeOrigin(r), now)
	}
	for _, id := range message.Queries {
		key, known, conflicting := o.table.Lookup(id, now)
		a := encodeOrigin(id, key)
		a.Known, a.Conflicting = known, conflicting
		answer.Answers = append(answer.Answers, a)
	}
	for _, a := range message.Answers {
		o.handleAnswer(message.From, a, now)
	}
	o.versions.SetListAge(asOf)
	if message.AnswersVersions != 0 {
		complete := message.VersionsComplete && message.AnswersVersions == o.versionQuery && now.Sub(o.askedAt) <= maxVersionsAge
		o.versions.Merge(decodeVersions(message.Versions, now), complete, now)
	}
	if message.WantsVersions != 0 {
		answer.AnswersVersions = message.WantsVersions
		answer.Versions, answer.VersionsComplete = encodeVersions(o.versions, now)
	}
	o.mu.Unlock()
	if len(answer.Answers) > 0 || answer.AnswersVersions != 0 {
		o.options.send(answer, message.From)
	}
}

// handleAnswer applies the answer of a peer to a query. The caller holds the lock.
func (o *streamOrigins) handleAnswer(from string, a *pb.StreamOrigin, now time.Time) {
	switch {
	case a.Conflicting:
		o.table.RecordConflict(a.Stream, now)
	case a.Known:
		o.table.Record(a.Stream, decodeOrigin(a), now)
	}
	q, ok := o.waiting[a.Stream]
	if !ok {
		return // its caller sends the request again
	}
	if _, ok := q.asked[from]; ok {
		q.asked[from] = true
	}
	if a.Known || q.answered() {
		select {
		case <-q.ended:
		default:
			close(q.ended)
		}
	}
}

// askVersions asks a few peers for the versions in use.
func (o *streamOrigins) askVersions() {
	members := slices.Clone(o.options.members())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	addresses := make([]string, 0, versionsAsked)
	for _, m := range members[:min(versionsAsked, len(members))] {
		addresses = append(addresses, m.ControlAddress)
	}
	if len(addresses) == 0 {
		return
	}
	o.mu.Lock()
	o.versionQuery, o.askedAt = rand.Uint64()|1, time.Now()
	message := &pb.Origins{WantsVersions: o.versionQuery}
	o.mu.Unlock()
	o.options.send(message, addresses...)
}

// versionsInUse returns the versions in use, and whether they include all that are saved in the store.
func (o *streamOrigins) versionsInUse(now time.Time) ([]origin.Use, bool) {
	asOf := o.options.listAsOf(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.SetListAge(asOf)
	return o.versions.All(now)
}

func (o *streamOrigins) unsavedVersions(services map[string]bool, now time.Time) (uses []origin.Use, waiting bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Unsaved(services, now)
}

// mergeVersions adds versions that are saved in the store. complete states that they include all that were ever saved within origin.TTL.
func (o *streamOrigins) mergeVersions(uses []origin.Use, complete bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Merge(uses, complete, now)
}

func (o *streamOrigins) setSaved(key origin.Key, saved bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.SetSaved(key.Service, key.Version, saved)
}

func (o *streamOrigins) setAllSaved(saved origin.Saved) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.SetAllSaved(saved)
}

// encodeVersions returns the versions for a peer, and whether they include all that are saved.
func encodeVersions(versions *origin.Versions, now time.Time) (messages []*pb.VersionInUse, complete bool) {
	uses, complete := versions.All(now)
	for _, use := range uses[:min(versionBatch, len(uses))] {
		messages = append(messages, &pb.VersionInUse{
			Service: use.Service, Version: use.Version, Saved: use.Saved,
			FirstSeenMs: exchange.AgeMillis(now.Sub(use.FirstSeen)), LastSeenMs: exchange.AgeMillis(now.Sub(use.LastSeen)),
		})
	}
	return messages, complete && len(uses) <= versionBatch
}

func decodeVersions(messages []*pb.VersionInUse, now time.Time) (uses []origin.Use) {
	timeOf := func(millis uint32) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for _, m := range messages {
		uses = append(uses, origin.Use{
			Service: m.Service, Version: m.Version, Saved: m.Saved, FirstSeen: timeOf(m.FirstSeenMs), LastSeen: timeOf(m.LastSeenMs),
		})
	}
	return uses
}

// rankMembers returns the control addresses of n daemons for the stream: the one of each zone with the highest rank by rendezvous
// hashing (Thaler and Ravishankar 1998), then the second one of each, and so on. A loss of all daemons of a zone leaves those
// of the others.
func rankMembers(members []*pb.Member, id uint64, n int) []string {
	type ranked struct {
		*pb.Member
		rank  uint64
		place int // within its zone
	}
	key := strconv.FormatUint(id, 16)
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		all = append(all, ranked{Member: m, rank: member.Score(key, m.Id)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	places := make(map[string]int)
	for i := range all {
		all[i].place = places[all[i].Zone]
		places[all[i].Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	addresses := make([]string, 0, n)
	for _, m := range all[:min(n, len(all))] {
		addresses = append(addresses, m.ControlAddress)
	}
	return addresses
}

var _ forward.Origins = (*streamOrigins)(nil)
