// Package config keeps a daemon's configuration up to date: it reads the configuration topic
// of the platform's log, exchanges its records with the other daemons, and publishes the
// configuration that results from them. Package configsync makes its decisions.
package config

import (
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Defaults of Options.
const (
	DefaultTopic                  = "filbertrill-config"
	DefaultDelegatePollInterval   = 250 * time.Millisecond
	DefaultOthersPollInterval     = 2 * time.Second
	DefaultReadTimeout            = 2 * time.Second
	DefaultStaleAfter             = 2500 * time.Millisecond
	DefaultStateRecordMaxInterval = time.Hour
	DefaultStateRecordMaxRecords  = 200
	tickInterval                  = 250 * time.Millisecond
	maxReadRecords                = 500 // records per read
)

// Members provides the members of the fleet. The controller calls its methods without
// holding its own lock.
type Members interface {
	Self() *pb.Member
	Live(now time.Time) []*pb.Member
	All() []member.Status
	// Listed returns the peer addresses on the platform's instance list, and the start of the last
	// read of it that succeeded, zero for none.
	Listed() (addresses []string, asOf time.Time)
	// Address returns the peer address of the member with the given id, empty if unknown.
	Address(id string) string
}

// Sender sends messages to the peer at an address, without waiting for an answer.
type Sender interface {
	Send(address string, env *pb.Envelope)
	Ping(address string) // requests a Pong
}

// Options configure a Controller.
type Options struct {
	SelfID               string
	Seeds                []string
	Members              Members
	Sender               Sender
	Log                  logservice.Log
	Topic                string
	DelegatePollInterval time.Duration // between two reads of the log by the delegate of a zone
	OthersPollInterval   time.Duration // between two reads of the log by other daemons
	ReadTimeout          time.Duration
	StaleAfter           time.Duration // age of the configuration above which no new work starts
	StateRecords         configsync.StateRecordLimits
	Logger               *slog.Logger
	// OnChange is called with each new configuration, in order, while the controller holds
	// its lock.
	OnChange func(*ticket.Config)
	// OnApplied is called after the applied offset has grown, without the lock.
	OnApplied func()
}

func (o *Options) applyDefaults() {
	if o.Topic == "" {
		o.Topic = DefaultTopic
	}
	defaults := map[*time.Duration]time.Duration{
		&o.DelegatePollInterval:     DefaultDelegatePollInterval,
		&o.OthersPollInterval:       DefaultOthersPollInterval,
		&o.ReadTimeout:              DefaultReadTimeout,
		&o.StaleAfter:               DefaultStaleAfter,
		&o.StateRecords.MaxInterval: DefaultStateRecordMaxInterval,
	}
	for field, value := range defaults {
		if *field == 0 {
			*field = value
		}
	}
	if o.OnApplied == nil {
		o.OnApplied = func() {}
	}
	if o.StateRecords.MaxRecords == 0 {
		o.StateRecords.MaxRecords = DefaultStateRecordMaxRecords
	}
}

// Controller applies the records of the configuration topic to the state. The applied offset
// never decreases. Its methods are safe for concurrent use.
type Controller struct {
	opts Options
	wake chan struct{} // signals Run to read the log now

	mu            sync.Mutex
	state         *ticket.State
	cache         configsync.RecordCache
	digests       *configsync.DigestHistory
	freshness     *configsync.FreshnessTracker
	roster        *configsync.Roster
	latestRecord  latestStateRecord
	lastRead      time.Time // when a read of the log last succeeded, zero for never
	lastReadErr   error
	lastRequest   recordRequest
	warnedOffsets map[string]int64 // offset of the last warning that a peer's digest differs, by member id
	zonePeers     map[string]bool  // ids of the members of this zone, as of the last tick

	current   atomic.Pointer[ticket.Config]
	published atomic.Pointer[publishedFreshness]
	applied   atomic.Pointer[appliedState]
}

// appliedState is the result of Applied. It is read without the controller's lock, because
// the members controller calls Applied while holding its own.
type appliedState struct {
	offset int64
	digest string
}

// recordOrigin is where records came from.
type recordOrigin int

const (
	fromLog recordOrigin = iota // read or appended by this daemon
	fromPeer
)

// publishedFreshness is the freshness that Freshness reads without the lock.
type publishedFreshness struct {
	asOf   time.Time
	source configsync.Source
}

// NewController returns a controller without a configuration. Run starts it.
func NewController(opts Options) *Controller {
	opts.applyDefaults()
	now := time.Now()
	c := &Controller{
		opts:          opts,
		wake:          make(chan struct{}, 1),
		state:         ticket.NewState(),
		digests:       configsync.NewDigestHistory(),
		freshness:     configsync.NewFreshnessTracker(opts.SelfID, now),
		roster:        configsync.NewRoster(opts.SelfID),
		latestRecord:  newLatestStateRecord(now),
		warnedOffsets: map[string]int64{},
	}
	c.published.Store(&publishedFreshness{})
	c.applied.Store(&appliedState{offset: c.state.AppliedOffset(), digest: c.state.Digest()})
	return c
}

// Current returns the current configuration. It returns nil while there is none, and until
// the daemon has every ticket that was accepted before it started.
func (c *Controller) Current() *ticket.Config { return c.current.Load() }

// Apply applies records, in the order of their offsets, and pushes them to peers. Records
// that are applied already are ignored.
func (c *Controller) Apply(records []logservice.Record) { c.apply(records, fromLog) }

func (c *Controller) apply(records []logservice.Record, origin recordOrigin) {
	c.mu.Lock()
	before := c.state.AppliedOffset()
	for _, r := range records {
		c.applyOne(r)
	}
	advanced := c.state.AppliedOffset() > before
	if advanced {
		c.publishApplied()
	}
	c.updateFreshness(time.Now())
	c.mu.Unlock()
	if advanced {
		c.push(origin)
		c.opts.OnApplied()
	}
}

// publishApplied publishes the applied offset and the digest. The caller holds the lock.
func (c *Controller) publishApplied() {
	applied := &appliedState{offset: c.state.AppliedOffset(), digest: c.state.Digest()}
	c.digests.Add(applied.offset, applied.digest)
	c.applied.Store(applied)
}

func (c *Controller) applyOne(r logservice.Record) {
	c.trackStateRecord(r, time.Now())
	verdict := c.state.Apply(r.Offset, r.Value)
	c.logVerdict(verdict)
	if verdict.Outcome == ticket.OutcomeAdopted {
		c.cache.Reset()
		return
	}
	if verdict.Outcome != ticket.OutcomeGap && c.state.AppliedOffset() == r.Offset {
		c.cache.Add(r)
	}
}

func (c *Controller) logVerdict(v ticket.Verdict) {
	switch v.Outcome {
	case ticket.OutcomeApplied:
		c.opts.Logger.Info("Applied a ticket.", "number", v.Number, "offset", v.Offset)
	case ticket.OutcomeRejected:
		c.opts.Logger.Warn("Rejected a ticket.", "number", v.Number, "offset", v.Offset, "reason", string(v.Reason), "detail", v.Detail)
	case ticket.OutcomeAdopted:
		c.opts.Logger.Info("Adopted a state record.", "offset", v.Offset, "base", c.state.AppliedOffset())
	}
}

// updateFreshness updates and publishes the freshness, and publishes the configuration once
// the daemon is ready to serve it. The caller holds the lock.
func (c *Controller) updateFreshness(now time.Time) {
	c.freshness.Update(now, c.state.AppliedOffset(), c.roster)
	asOf, source := c.freshness.AsOf()
	c.published.Store(&publishedFreshness{asOf: asOf, source: source})
	if !c.freshness.Ready() || c.state.AppliedOffset() < 0 {
		return
	}
	config := c.state.Config()
	if config == c.current.Load() {
		return
	}
	c.current.Store(config)
	if c.opts.OnChange != nil {
		c.opts.OnChange(config)
	}
}

// Applied returns the offset of the last applied record, -1 for none, and the digest of the
// state in hex.
func (c *Controller) Applied() (int64, string) {
	applied := c.applied.Load()
	return applied.offset, applied.digest
}

// Verdict returns the verdict on the first ticket with the given number, and the digest
// prefix of that ticket in hex. known is false for a number that was never seen or whose
// ticket is no longer in the history.
func (c *Controller) Verdict(number uint64) (v ticket.Verdict, digest string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, known = c.state.Verdict(number)
	return v, c.state.DigestPrefix(number), known
}

// Lookup returns the verdict on this ticket, compared by content and not only by number. It
// reports false while no record with its number is known.
func (c *Controller) Lookup(t ticket.Ticket) (ticket.Verdict, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Lookup(t)
}

// Snapshot returns the whole state as JSON, and the offset of the last record in it.
func (c *Controller) Snapshot() ([]byte, int64, error) {
	data, applied, _, err := c.snapshot()
	return data, applied, err
}

func (c *Controller) snapshot() (data []byte, applied int64, digest string, err error) {
	c.mu.Lock()
	snapshot, digest := c.state.Snapshot(), c.state.Digest()
	c.mu.Unlock()
	data, err = json.Marshal(snapshot)
	return data, snapshot.AppliedOffset, digest, errors.Wrap(err, "encode snapshot")
}

// Numbers returns the highest ticket numbers in descending order, at most limit of them.
func (c *Controller) Numbers(limit int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Numbers(limit)
}
