package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

const (
	// requestInterval is the least time between two requests for the same records.
	requestInterval = 500 * time.Millisecond
	// maxRecordBytes bounds the records of one message; a single longer one is sent all the same.
	maxRecordBytes = 512 << 10
)

// request is the last request for records that was sent to a peer.
type recordRequest struct {
	next   int64
	sentAt time.Time
}

// Submitted takes in a record that this daemon appended itself, and tells the peers.
func (c *Controller) ApplyAppended(record logservice.Record) {
	c.Apply([]logservice.Record{record})
	c.Wake()
}

// push sends the newest records to the daemons that this one tells and that may lack them.
func (c *Controller) push(origin recordOrigin) {
	self := c.opts.Members.Self()
	targets := configsync.PushTargets(self, c.opts.Members.Live(time.Now()), origin == fromPeer)
	for _, m := range targets {
		if env := c.recordsFor(m); env != nil {
			c.opts.Sender.Send(m.PeerAddress, env)
		}
	}
}

// recordsFor returns the records that a member may lack, or nil. When its records are no
// longer kept, the message only tells the applied offset, and the member asks.
func (c *Controller) recordsFor(m *pb.Member) *pb.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.state.Applied()
	peerApplied := max(m.AppliedOffset, c.freshness.AppliedBy(m.Id))
	if peerApplied >= applied {
		return nil
	}
	records, _ := c.cache.From(peerApplied+1, maxRecordBytes)
	return recordsMessage(records, applied)
}

func recordsMessage(records []logservice.Record, applied int64) *pb.Envelope {
	m := &pb.ConfigRecords{AppliedOffset: applied}
	for _, r := range records {
		m.Records = append(m.Records, &pb.ConfigRecord{Offset: r.Offset, Value: r.Value})
	}
	return &pb.Envelope{Body: &pb.Envelope_ConfigRecords{ConfigRecords: m}}
}

// Records takes in records that a peer sent.
func (c *Controller) HandleRecords(from string, m *pb.ConfigRecords) {
	records := make([]logservice.Record, 0, len(m.Records))
	for _, r := range m.Records {
		records = append(records, logservice.Record{Offset: r.Offset, Value: r.Value})
	}
	c.apply(records, fromPeer)
	c.requestIfBehind(from, m.AppliedOffset)
}

// compare warns once of each offset at which a peer has another state.
func (c *Controller) warnIfDiverged(from string, offset int64, digest string) {
	if !c.digests.Differs(offset, digest) {
		return
	}
	if last, ok := c.warnedOffsets[from]; ok && last == offset {
		return
	}
	c.warnedOffsets[from] = offset
	c.opts.Logger.Error("A peer has another state at the same offset.", "peer", from, "offset", offset, "digest", digest)
}

// requestIfBehind asks a peer that has applied more for its records.
func (c *Controller) requestIfBehind(from string, applied int64) {
	next, due := c.requestDue(applied, time.Now())
	if !due {
		return
	}
	address := c.opts.Members.Address(from)
	if address == "" {
		return
	}
	body := &pb.Envelope_ConfigRequest{ConfigRequest: &pb.ConfigRequest{NextOffset: next}}
	c.opts.Sender.Send(address, &pb.Envelope{Body: body})
}

func (c *Controller) requestDue(applied int64, now time.Time) (next int64, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = c.state.Next()
	if applied < next {
		return next, false
	}
	if c.lastRequest.next == next && now.Sub(c.lastRequest.sentAt) < requestInterval {
		return next, false
	}
	c.lastRequest = recordRequest{next: next, sentAt: now}
	return next, true
}

// Request answers a peer that asks for records, with the whole state when they are no longer kept.
func (c *Controller) HandleRequest(from string, m *pb.ConfigRequest) {
	address := c.opts.Members.Address(from)
	if address == "" {
		return
	}
	c.mu.Lock()
	applied := c.state.Applied()
	records, cached := c.cache.From(m.NextOffset, maxRecordBytes)
	c.mu.Unlock()
	switch {
	case applied < m.NextOffset:
	case cached:
		c.opts.Sender.Send(address, recordsMessage(records, applied))
	default:
		c.sendSnapshot(address)
	}
}

func (c *Controller) sendSnapshot(address string) {
	data, applied, digest, err := c.snapshot()
	if err != nil {
		c.opts.Logger.Error("State can't be sent.", "error", err)
		return
	}
	reply := &pb.ConfigReply{AppliedOffset: applied, Snapshot: data, Digest: digest}
	c.opts.Sender.Send(address, &pb.Envelope{Body: &pb.Envelope_ConfigReply{ConfigReply: reply}})
}

// Reply takes in the whole state of a peer.
func (c *Controller) HandleReply(from string, m *pb.ConfigReply) {
	adopted, err := c.adoptSnapshot(from, m)
	if err != nil {
		c.opts.Logger.Error("A peer's state is not usable.", "peer", from, "error", err)
		return
	}
	if adopted {
		c.push(fromPeer)
		c.opts.OnApplied()
	}
}

func (c *Controller) adoptSnapshot(from string, m *pb.ConfigReply) (bool, error) {
	var snapshot ticket.Snapshot
	if err := json.Unmarshal(m.Snapshot, &snapshot); err != nil {
		return false, errors.Wrap(err, "decode snapshot")
	}
	state, err := ticket.Restore(snapshot)
	if err != nil {
		return false, err
	}
	if state.Digest() != m.Digest {
		return false, errors.New("the digest does not match the state")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warnIfDiverged(from, state.Applied(), m.Digest)
	if state.Applied() <= c.state.Applied() {
		return false, nil
	}
	c.state = state
	c.cache.Reset()
	c.publishApplied()
	c.opts.Logger.Info("Adopted the state of a peer.", "peer", from, "offset", state.Applied())
	c.updateFreshness(time.Now())
	return true, nil
}
