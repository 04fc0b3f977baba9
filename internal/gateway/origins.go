package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

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
	// originAsked is how many daemons are asked for it. The fleet may have changed since it was recorded.
	originAsked = 6
	// originAttemptTimeout is the time until they are asked again, originAttempts how often.
	originAttemptTimeout = 60 * time.Millisecond
	originAttempts       = 2
)

// streamOrigins tells which software version began a stream, whichever daemon that was. It implements forward.Origins.
type streamOrigins struct {
	members func() []*pb.Member // other live daemons
	listed  func() bool         // the list of servers was complete once
	send    func(o *pb.Origins, controlAddresses ...string)
	logger  *slog.Logger

	startedAt time.Time

	mu       sync.Mutex
	table    *origin.Table
	versions *origin.Versions
	waiting  map[uint64]*originQuery // by stream
}

// originQuery is a question to peers. Several requests may wait for its end.
type originQuery struct {
	// replicas are the control addresses of those that would have been told. The value is true when one has answered that
	// has recorded origins for as long as minRecording: one that has started since knows nothing of earlier streams.
	replicas     map[string]bool
	minRecording time.Duration
	ended        chan struct{} // closed when the origin is known, or all of them have answered that it is not
	waiters      int
}

// answered reports whether all replicas have.
func (q *originQuery) answered() bool {
	for _, answered := range q.replicas {
		if !answered {
			return false
		}
	}
	return true
}

func newStreamOrigins(members func() []*pb.Member, listed func() bool, send func(*pb.Origins, ...string), logger *slog.Logger) *streamOrigins {
	return &streamOrigins{
		members: members, listed: listed, send: send, logger: logger, startedAt: time.Now(),
		table: origin.NewTable(), versions: origin.NewVersions(), waiting: map[uint64]*originQuery{},
	}
}

// setServers records the versions of the servers.
func (o *streamOrigins) setServers(servers []routing.Server, now time.Time) {
	listed := o.listed()
	o.mu.Lock()
	defer o.mu.Unlock()
	if listed { // before this change
		o.versions.SetComplete(now)
	}
	o.versions.Update(servers, now)
}

// Record implements forward.Origins.
func (o *streamOrigins) Record(service, attempt, version string) {
	id, now := placement.Hash(attempt), time.Now()
	o.mu.Lock()
	o.table.Record(id, version, now)
	mixed := o.versions.Mixed(service, now)
	o.mu.Unlock()
	if mixed {
		record := &pb.StreamOrigin{Stream: id, Known: true, Version: version}
		tell := func() {
			o.send(&pb.Origins{Records: []*pb.StreamOrigin{record}}, o.rankedMembers(id, originReplicas)...)
		}
		tell()
		time.AfterFunc(originRepeatDelay, tell)
	}
}

// Find implements forward.Origins.
func (o *streamOrigins) Find(ctx context.Context, service, attempt string) (version string, basis forward.OriginBasis) {
	id, conclusive := placement.Hash(attempt), true
	if attempt != "" {
		if version, ok := o.lookup(id); ok {
			return version, forward.OriginRecorded
		}
		conclusive = o.query(ctx, service, id)
		if version, ok := o.lookup(id); ok {
			return version, forward.OriginAnswered
		}
	}
	listed, now := o.listed(), time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if listed {
		o.versions.SetComplete(now)
	}
	mixed := o.versions.Mixed(service, now)
	if !conclusive && mixed {
		return "", forward.OriginUnknown
	}
	version, ok := o.versions.Unrecorded(service, now)
	if !ok {
		return "", forward.OriginUnknown
	}
	if mixed {
		o.logger.Info("Stream counts as begun before versions were mixed.", "service", service, "attempt", attempt, "version", version,
			"mixed_for", o.versions.MixedFor(service, now))
	}
	return version, forward.OriginConcluded
}

func (o *streamOrigins) lookup(id uint64) (version string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Lookup(id, time.Now())
}

// query asks peers for the origin of a stream. It reports whether the origin is known now, or none of those that would have
// been told of it knows it.
func (o *streamOrigins) query(ctx context.Context, service string, id uint64) bool {
	asked := o.rankedMembers(id, originAsked)
	if len(asked) == 0 {
		return true
	}
	q := o.startQuery(service, id, asked[:min(originReplicas, len(asked))])
	defer o.endQuery(id, q)
	for range originAttempts {
		o.send(&pb.Origins{Queries: []uint64{id}}, asked...)
		select {
		case <-q.ended:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(originAttemptTimeout):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return q.answered()
}

func (o *streamOrigins) startQuery(service string, id uint64, replicas []string) *originQuery {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.waiting[id]
	if !ok {
		q = &originQuery{
			replicas:     make(map[string]bool, len(replicas)),
			minRecording: o.versions.MixedFor(service, time.Now()),
			ended:        make(chan struct{}),
		}
		for _, controlAddress := range replicas {
			q.replicas[controlAddress] = false
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
	var answers []*pb.StreamOrigin
	o.mu.Lock()
	for _, r := range message.Records {
		o.table.Record(r.Stream, r.Version, now)
	}
	for _, id := range message.Queries {
		version, ok := o.table.Lookup(id, now)
		answers = append(answers, &pb.StreamOrigin{Stream: id, Known: ok, Version: version})
	}
	for _, a := range message.Answers {
		o.handleAnswer(message.From, time.Duration(message.RecordingMs)*time.Millisecond, a, now)
	}
	o.mu.Unlock()
	if len(answers) > 0 {
		o.send(&pb.Origins{Answers: answers, RecordingMs: uint64(now.Sub(o.startedAt).Milliseconds())}, message.From)
	}
}

// handleAnswer applies an answer of a peer that has recorded origins for so long. The caller holds the lock.
func (o *streamOrigins) handleAnswer(from string, recording time.Duration, a *pb.StreamOrigin, now time.Time) {
	q, ok := o.waiting[a.Stream]
	if !ok {
		return // an answer to the repeat of a query that has ended
	}
	if _, ok := q.replicas[from]; ok && recording >= q.minRecording {
		q.replicas[from] = true
	}
	if a.Known {
		o.table.Record(a.Stream, a.Version, now)
	}
	if a.Known || q.answered() {
		select {
		case <-q.ended:
		default:
			close(q.ended)
		}
	}
}

// rankedMembers returns the control addresses of the n other daemons with the highest rank for the stream, by rendezvous
// hashing (Thaler and Ravishankar 1998).
func (o *streamOrigins) rankedMembers(id uint64, n int) []string {
	type ranked struct {
		rank           uint64
		controlAddress string
	}
	key := strconv.FormatUint(id, 16)
	var members []ranked
	for _, m := range o.members() {
		members = append(members, ranked{member.Score(key, m.Id), m.ControlAddress})
	}
	slices.SortFunc(members, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	addresses := make([]string, 0, n)
	for _, m := range members[:min(n, len(members))] {
		addresses = append(addresses, m.controlAddress)
	}
	return addresses
}

var _ forward.Origins = (*streamOrigins)(nil)
