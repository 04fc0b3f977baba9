// Package quarantine holds the evidence against prompt parts and requests that end backend servers, and exchanges it
// between daemons. The decisions are those of the package of the same name.
package quarantine

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange"
	exchangepb "github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	core "github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
)

const (
	// sendInterval is the time between two reports of recent observations.
	sendInterval = 250 * time.Millisecond
	// newcomerWindow is how long a member that has become live is sent all suspects, newcomerSenders by how many others.
	newcomerWindow  = 2 * time.Second
	newcomerSenders = 2
	// endPeriod is the time after which the end of a server that keeps its ID counts as another one.
	endPeriod = 10 * time.Second
	// minRetryAfter is the Retry-After of held requests while another daemon tries one.
	minRetryAfter = time.Second
)

// Sender sends messages to peers.
type Sender interface {
	Send(address string, env *pb.Envelope)
}

// Members are the daemons of the fleet.
type Members interface {
	// Live returns the members that are live, this daemon included.
	Live(now time.Time) []*pb.Member
}

// Metrics shows what is held.
type Metrics interface {
	SetQuarantined(kind, id string, held bool)
}

// Options configure a Controller.
type Options struct {
	SelfID  string
	Members Members
	Sender  Sender
	Metrics Metrics
	Logger  *slog.Logger
}

// Controller holds the evidence of the fleet as far as this daemon knows it. Its methods are safe for concurrent use.
type Controller struct {
	opts      Options
	mu        sync.Mutex
	registry  *core.Registry
	liveSince map[string]time.Time // by member ID
}

// NewController returns a controller without evidence.
func NewController(opts Options) *Controller {
	c := &Controller{opts: opts, liveSince: map[string]time.Time{}}
	c.registry = core.New(c.mayTry)
	return c
}

// Check returns a PromptQuarantined error if a request with the subjects must not be sent. trial reports whether it is sent
// nevertheless, to find out whether they still end servers.
func (c *Controller) Check(subjects []core.Subject) (trial bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	held, ok := c.registry.Held(subjects)
	if !ok {
		return false, nil
	}
	if c.registry.StartTrial(subjects, now) {
		return true, nil
	}
	return false, result.NewWithoutStack(result.PromptQuarantined, "%v %x is held since %s, %d servers ended under it",
		held.Kind, held.ID, held.Since.Format(time.RFC3339), len(held.Servers)).WithRetryAfter(max(minRetryAfter, held.Until.Sub(now)))
}

// RecordEnd records that the server broke the connection of a request with the subjects. begun tells whether its answer had
// begun.
func (c *Controller) RecordEnd(subjects []core.Subject, server string, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.registry.RecordEnd(subjects, core.End{Server: serverIdentity(server, now), At: now, Begun: begun}, now)
}

// RecordSound records that an answer of the server to a request with the subjects, sent at sentAt, proves that they don't
// end servers.
func (c *Controller) RecordSound(subjects []core.Subject, server string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, at := range []time.Time{now, now.Add(-endPeriod)} {
		c.registry.RecordAlive(serverIdentity(server, at), sentAt, now)
	}
	c.registry.RecordSound(subjects, now)
}

// serverIdentity identifies the end of a server at a time. Servers keep their IDs when they start again.
func serverIdentity(server string, at time.Time) uint64 {
	return xxhash.Sum64String(server + " " + strconv.FormatInt(at.UnixNano()/int64(endPeriod), 10))
}

// HandleReports adds the evidence of a peer.
func (c *Controller) HandleReports(from string, message *pb.SuspectReports) {
	reports := make([]core.Report, 0, len(message.Suspects))
	for _, encoded := range message.Suspects {
		var suspect exchangepb.Suspect
		if err := proto.Unmarshal(encoded, &suspect); err != nil {
			c.opts.Logger.Warn("Invalid evidence ignored.", "peer", from, "error", err)
			return
		}
		reports = append(reports, exchange.DecodeSuspect(&suspect))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Merge(reports, time.Now())
}

// Run sends evidence to peers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

// tick sends recent observations to all members, and all suspects to members that have just become live.
func (c *Controller) tick(now time.Time) {
	live := c.opts.Members.Live(now)
	c.mu.Lock()
	c.publishChanges()
	observed := c.registry.ObservedReports(now)
	suspects := c.registry.SuspectReports(now)
	newcomers := c.updateLive(live, now)
	c.mu.Unlock()
	c.send(live, observed)
	for _, m := range newcomers {
		if len(suspects) > 0 && ranksAmong(newcomerSenders, xxhash.Sum64String(m.Id), c.opts.SelfID, live, m.Id) {
			c.send([]*pb.Member{m}, suspects)
		}
	}
}

// updateLive records since when members are live, and returns those that have become live recently.
func (c *Controller) updateLive(live []*pb.Member, now time.Time) []*pb.Member {
	var newcomers []*pb.Member
	known := make(map[string]time.Time, len(live))
	for _, m := range live {
		since, ok := c.liveSince[m.Id]
		if !ok {
			since = now
		}
		known[m.Id] = since
		if now.Sub(since) <= newcomerWindow {
			newcomers = append(newcomers, m)
		}
	}
	c.liveSince = known
	return newcomers
}

func (c *Controller) send(members []*pb.Member, reports []core.Report) {
	if len(reports) == 0 {
		return
	}
	message := &pb.SuspectReports{}
	for _, report := range reports {
		encoded, err := proto.Marshal(exchange.EncodeSuspect(report))
		if err != nil {
			c.opts.Logger.Error("Evidence was not encoded.", "error", err)
			return
		}
		message.Suspects = append(message.Suspects, encoded)
	}
	for _, m := range members {
		if m.Id != c.opts.SelfID {
			c.opts.Sender.Send(m.PeerAddress, &pb.Envelope{Body: &pb.Envelope_SuspectReports{SuspectReports: message}})
		}
	}
}

// publishChanges logs the subjects that became suspected, or are no longer, and updates the gauges. The caller holds the
// lock.
func (c *Controller) publishChanges() {
	for _, change := range c.registry.Changes() {
		kind, id := change.Kind.String(), strconv.FormatUint(change.ID, 16)
		if change.Suspected {
			c.opts.Logger.Warn("Suspected of ending servers.", "kind", kind, "id", id, "servers", len(change.Servers), "until", change.Until)
		} else {
			c.opts.Logger.Info("No longer suspected of ending servers.", "kind", kind, "id", id, "since", change.Since)
		}
		c.opts.Metrics.SetQuarantined(kind, id, change.Suspected)
	}
}

// mayTry implements the function of quarantine.New.
func (c *Controller) mayTry(subject uint64, triers int) bool {
	return ranksAmong(triers, subject, c.opts.SelfID, c.opts.Members.Live(time.Now()), "")
}

// ranksAmong reports whether the daemon self is one of the n live members with the highest rank for the key, without the
// excluded one.
func ranksAmong(n int, key uint64, self string, live []*pb.Member, excluded string) bool {
	own, higher := core.TrialRank(key, self), 0
	for _, m := range live {
		if m.Id != self && m.Id != excluded && core.TrialRank(key, m.Id) > own {
			higher++
		}
	}
	return self != excluded && higher < n
}
