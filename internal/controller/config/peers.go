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
	// requestInterval is the minimum time between two requests for the same records.
	requestInterval = 500 * time.Millisecond
	// maxRecordBytes limits the total size of the records in one message. A single larger
	// record is sent nevertheless.
	maxRecordBytes = 512 << 10
)

// recordRequest is a request to a peer for the records from the offset next on.
type recordRequest struct {
	next   int64
	sentAt time.Time
}

// ApplyAppended applies a record that this daemon has appended to the log itself, and pushes
// it to peers. It also triggers a read of the log, because the record is ignored if earlier
// ones are not applied yet.
func (c *Controller) ApplyAppended(record logservice.Record) {
	c.Apply([]logservice.Record{record})
	c.Wake()
}

// push sends the newest records to the peers that configsync.PushTargets selects and that may
// lack them.
func (c *Controller) push(origin recordOrigin) {
	self := c.opts.Members.Self()
	targets := configsync.PushTargets(self, c.opts.Members.Live(time.Now()), origin == fromPeer)
	for _, m := range targets {
		if env := c.recordsFor(m); env != nil {
			c.opts.Sender.Send(m.PeerAddress, env)
		}
	}
}

// recordsFor returns a message with the records that the member may lack, or nil if it lacks
// none. If they are no longer cached, the message contains only the applied offset, and the
// member requests the state.
func (c *Controller) recordsFor(m *pb.Member) *pb.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.state.AppliedOffset()
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

// HandleRecords applies records that the peer with id from has sent.
func (c *Controller) HandleRecords(from string, m *pb.ConfigRecords) {
	records := make([]logservice.Record, 0, len(m.Records))
	for _, r := range m.Records {
		records = append(records, logservice.Record{Offset: r.Offset, Value: r.Value})
	}
	c.apply(records, fromPeer)
	c.requestIfBehind(from, m.AppliedOffset)
}

// warnIfDiverged logs an error if a peer has another state at the same offset, once for each
// offset. The caller holds the lock.
func (c *Controller) warnIfDiverged(from string, offset int64, digest string) {
	if !c.digests.Differs(offset, digest) {
		return
	}
	if last, ok := c.warnedOffsets[from]; ok && last == offset {
		return
	}
	c.warnedOffsets[from] = offset
	c.opts.Logger.Error("State differs from that of a peer at the same offset.", "peer", from, "offset", offset, "digest", digest)
}

// requestIfBehind requests records from the peer if it has applied more than this daemon.
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

// requestDue returns the offset of the next record that this daemon needs, and whether to
// request it now from a peer that has applied the given offset.
func (c *Controller) requestDue(applied int64, now time.Time) (next int64, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = c.state.NextOffset()
	if applied < next {
		return next, false
	}
	if c.lastRequest.next == next && now.Sub(c.lastRequest.sentAt) < requestInterval {
		return next, false
	}
	c.lastRequest = recordRequest{next: next, sentAt: now}
	return next, true
}

// HandleRequest answers a peer's request for records. If they are no longer cached, it sends
// the whole state.
func (c *Controller) HandleRequest(from string, m *pb.ConfigRequest) {
	address := c.opts.Members.Address(from)
	if address == "" {
		return
	}
	c.mu.Lock()
	applied := c.state.AppliedOffset()
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
		c.opts.Logger.Error("Failed to encode the state for a peer.", "error", err)
		return
	}
	reply := &pb.ConfigReply{AppliedOffset: applied, Snapshot: data, Digest: digest}
	c.opts.Sender.Send(address, &pb.Envelope{Body: &pb.Envelope_ConfigReply{ConfigReply: reply}})
}

// HandleReply adopts a peer's whole state if it is valid and newer than the daemon's own.
func (c *Controller) HandleReply(from string, m *pb.ConfigReply) {
	adopted, err := c.adoptSnapshot(from, m)
	if err != nil {
		c.opts.Logger.Error("Received an invalid state from a peer.", "peer", from, "error", err)
		return
	}
	if adopted {
		c.push(fromPeer)
		c.opts.OnApplied()
	}
}

// adoptSnapshot replaces the state by the one in the message, unless that is not newer. It
// reports whether it replaced the state.
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
		return false, errors.New("digest does not match the state")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warnIfDiverged(from, state.AppliedOffset(), m.Digest)
	if state.AppliedOffset() <= c.state.AppliedOffset() {
		return false, nil
	}
	c.state = state
	c.cache.Reset()
	c.publishApplied()
	c.opts.Logger.Info("Adopted the state of a peer.", "peer", from, "offset", state.AppliedOffset())
	c.updateFreshness(time.Now())
	return true, nil
}
