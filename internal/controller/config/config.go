// Package config follows the configuration topic of the platform's log and publishes
// the state that results from it.
package config

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/platform"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Defaults of Options.
const (
	DefaultTopic        = "filbertrill-config"
	DefaultPollInterval = 250 * time.Millisecond
	DefaultReadTimeout  = 2 * time.Second
	readLimit           = 500 // records a read
)

// Options configure a Controller.
type Options struct {
	Log          platform.Log
	Topic        string
	PollInterval time.Duration
	ReadTimeout  time.Duration
	Logger       *slog.Logger
	// OnChange is called with each new configuration, in order, from one goroutine.
	OnChange func(*ticket.Config)
}

// Controller applies the log to the state. The applied offset only grows.
type Controller struct {
	opts Options

	mu       sync.Mutex
	state    *ticket.State
	lastRead time.Time
	lastErr  error

	current atomic.Pointer[ticket.Config]
}

// NewController returns a controller without a configuration.
func NewController(opts Options) *Controller {
	if opts.Topic == "" {
		opts.Topic = DefaultTopic
	}
	if opts.PollInterval == 0 {
		opts.PollInterval = DefaultPollInterval
	}
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = DefaultReadTimeout
	}
	return &Controller{opts: opts, state: ticket.NewState()}
}

// Current returns the configuration, or nil while there is none.
func (c *Controller) Current() *ticket.Config { return c.current.Load() }

// Run follows the log until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.PollInterval)
	defer ticker.Stop()
	for {
		c.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sync reads until nothing new is in the log.
func (c *Controller) sync(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := c.readOnce(ctx)
		c.noteRead(err)
		if err != nil || n < readLimit {
			return
		}
	}
}

func (c *Controller) noteRead(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.lastErr == nil {
		c.opts.Logger.Warn("Log does not answer, serving on with the last configuration.", "error", err)
	}
	if err == nil && c.lastErr != nil {
		c.opts.Logger.Info("Log answers again.")
	}
	c.lastErr = err
	if err == nil {
		c.lastRead = time.Now()
	}
}

func (c *Controller) readOnce(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	c.mu.Lock()
	next := c.state.Next()
	c.mu.Unlock()
	records, err := c.opts.Log.Read(ctx, c.opts.Topic, next, readLimit)
	if errors.Is(err, platform.ErrForgotten) {
		return c.readFromFirst(ctx)
	}
	if err != nil {
		return 0, err
	}
	c.Apply(records)
	return len(records), nil
}

// readFromFirst looks for a state record in what the log still keeps.
func (c *Controller) readFromFirst(ctx context.Context) (int, error) {
	bounds, err := c.opts.Log.Bounds(ctx, c.opts.Topic)
	if err != nil {
		return 0, err
	}
	records, err := c.opts.Log.Read(ctx, c.opts.Topic, bounds.First, readLimit)
	if err != nil {
		return 0, err
	}
	c.Apply(records)
	return len(records), nil
}

// Apply takes in records in the order of their offsets. Records that are applied already are ignored.
func (c *Controller) Apply(records []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state.Config()
	for _, r := range records {
		verdict := c.state.Apply(r.Offset, r.Value)
		c.logVerdict(verdict)
	}
	c.publish(before)
}

func (c *Controller) logVerdict(v ticket.Verdict) {
	switch v.Outcome {
	case ticket.OutcomeApplied:
		c.opts.Logger.Info("Applied a ticket.", "number", v.Number, "offset", v.Offset)
	case ticket.OutcomeRejected:
		c.opts.Logger.Warn("Rejected a ticket.", "number", v.Number, "offset", v.Offset, "reason", string(v.Reason), "detail", v.Detail)
	}
}

func (c *Controller) publish(before *ticket.Config) {
	config := c.state.Config()
	if c.state.Applied() < 0 {
		return
	}
	if config == before && c.current.Load() != nil {
		return
	}
	c.current.Store(config)
	if c.opts.OnChange != nil {
		c.opts.OnChange(config)
	}
}

// Applied returns the offset of the last record applied (-1 for none) and the state's digest.
func (c *Controller) Applied() (int64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Applied(), c.state.Digest()
}

// Verdict returns what is known of a ticket number.
func (c *Controller) Verdict(number uint64) (ticket.Verdict, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Verdict(number)
}

// Snapshot returns the whole state as JSON and the applied offset.
func (c *Controller) Snapshot() ([]byte, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(c.state.Snapshot())
	return data, c.state.Applied(), errors.Wrap(err, "encode snapshot")
}

// LogHealth returns when the log last answered, and the error of the last read.
func (c *Controller) LogHealth() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead, c.lastErr
}

// Numbers returns the highest ticket numbers, descending, at most limit of them.
func (c *Controller) Numbers(limit int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Numbers(limit)
}
