package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// storedReport is the newest report of a daemon (its source) in another data centre.
type storedReport struct {
	report          *pb.ZoneReport // without members
	members         []*pb.Member
	createdAt       time.Time // when the source created it, by this daemon's clock
	fromOtherZone   bool      // received from a daemon of another data centre
	fromOtherRegion bool      // received from a daemon of another region
	unsent          bool      // has changes that are not yet forwarded
	membersUnsent   bool      // has members that are not yet forwarded
	sourceLost      bool      // the source is suspected
}

// ownReportSummary is the part of the last report on the own data centre that is compared
// with the next one.
type ownReportSummary struct {
	digest    uint64
	applied   int64
	behind    []uint64
	suspected []string
}

// membersDigest hashes the records of members, which have to be ordered by id.
func membersDigest(members []*pb.Member) uint64 {
	h := xxhash.New()
	for _, m := range members {
		hashRecord(h, m)
	}
	return h.Sum64()
}

// makeOwnReport returns a report on the members of the own data centre, including those that
// have left but are not yet suspected.
func (v *View) makeOwnReport(now time.Time) *pb.ZoneReport {
	r := &pb.ZoneReport{
		Source:      v.self.Id,
		Incarnation: v.self.Incarnation,
		Seq:         v.self.Seq,
		Zone:        v.self.Zone,
		Region:      v.self.Region,
		Applied:     -1,
	}
	var members []*pb.Member
	for _, s := range v.All() {
		switch {
		case s.Member.Zone != v.self.Zone:
		case !v.Suspected(&s, now):
			members = append(members, s.Member)
		case s.Member.State != pb.MemberState_MEMBER_STATE_LEFT:
			r.Suspected = append(r.Suspected, s.Member.Id)
		}
	}
	for _, m := range members {
		r.Applied = max(r.Applied, m.AppliedOffset)
	}
	anyBehind := false
	for _, m := range members {
		behind := uint64(r.Applied - m.AppliedOffset)
		anyBehind = anyBehind || behind > 0
		r.Behind = append(r.Behind, behind)
		r.Loads = append(r.Loads, m.Load)
		r.Members = append(r.Members, stableRecord(m))
	}
	if !anyBehind {
		r.Behind = nil
	}
	r.Digest = membersDigest(r.Members)
	return r
}

// stableRecord returns a copy of a record without the fields that change often.
func stableRecord(m *pb.Member) *pb.Member {
	return &pb.Member{
		Id:            m.Id,
		Incarnation:   m.Incarnation,
		PeerAddress:   m.PeerAddress,
		ClientAddress: m.ClientAddress,
		Zone:          m.Zone,
		Region:        m.Region,
		State:         m.State,
	}
}

// HandleZoneReports processes reports on other data centres. It returns the messages to send
// in response: a request for members that are missing, and those of introduceOrForward.
func (v *View) HandleZoneReports(now time.Time, from string, incarnation uint64, m *pb.ZoneReports) []OutboundMessage {
	v.detectPause(now)
	if from == "" || from == v.self.Id {
		return nil
	}
	v.recordContact(from, incarnation, m.Seq, m.Echo, m.Zone, now)
	var unresolved []string
	for _, r := range m.Reports {
		if r.Source == v.self.Id || r.Zone == v.self.Zone {
			continue
		}
		if !v.fillZone(r) || !v.applyReport(now, from, m.Zone, r) {
			unresolved = append(unresolved, r.Source)
		}
	}
	var out []OutboundMessage
	if len(unresolved) > 0 {
		request := &pb.ZoneRequest{Address: v.self.PeerAddress, Sources: unresolved}
		body := &pb.Envelope_ZoneRequest{ZoneRequest: request}
		out = append(out, OutboundMessage{Address: m.Address, Message: &pb.Envelope{Body: body}})
	}
	return append(out, v.introduceOrForward(now, from, m)...)
}

// fillZone sets the zone and region of a report that omits them, from the stored report of
// the same source and incarnation. It reports false if there is none.
func (v *View) fillZone(r *pb.ZoneReport) bool {
	if r.Zone != "" {
		return true
	}
	stored := v.reports[r.Source]
	if stored == nil || stored.report.Incarnation != r.Incarnation {
		return false
	}
	r.Zone, r.Region = stored.report.Zone, stored.report.Region
	return true
}

// introduceOrForward returns a heartbeat to a sender in the own data centre that is not yet
// known. For a sender in another data centre, it forwards the reports to the own delegate if
// that is another daemon.
func (v *View) introduceOrForward(now time.Time, from string, m *pb.ZoneReports) []OutboundMessage {
	if m.Zone == v.self.Zone {
		if v.members[from] == nil {
			return []OutboundMessage{{Address: m.Address, Message: v.makeHeartbeat("")}}
		}
		return nil
	}
	delegate := groupByZone(v.Live(now)).delegate(v.self.Zone)
	if delegate == nil || delegate.Id == v.self.Id {
		return nil
	}
	var forwarded []*pb.ZoneReport
	for _, r := range m.Reports {
		if stored := v.reports[r.Source]; stored != nil {
			forwarded = append(forwarded, v.forwardReport(stored, now, true, false))
		}
	}
	return []OutboundMessage{{Address: delegate.PeerAddress, Message: v.zoneReportsEnvelope(delegate.Id, forwarded)}}
}

// applyReport stores a report and updates the members that it lists, unless the stored one is
// newer. It reports false if the members of the report are neither included nor known.
func (v *View) applyReport(now time.Time, from, senderZone string, r *pb.ZoneReport) bool {
	stored := v.reports[r.Source]
	if stored != nil && !v.newerReport(stored, r, now) {
		if r.SourceLost && r.Incarnation == stored.report.Incarnation && r.Seq == stored.report.Seq {
			v.markLost(r.Source, stored.createdAt)
			v.markLostSources(now)
		}
		return true
	}
	members := v.reportMembers(stored, r)
	if members == nil {
		return false
	}
	createdAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	next := &storedReport{report: r, members: members, createdAt: createdAt, fromOtherZone: senderZone != v.self.Zone}
	next.fromOtherRegion = next.fromOtherZone && v.regionOf(from) != v.self.Region
	next.membersUnsent = stored == nil || stored.report.Digest != r.Digest || stored.membersUnsent
	next.unsent = next.membersUnsent || stored.unsent || stored.report.Applied != r.Applied ||
		!slices.Equal(stored.report.Behind, r.Behind) || !slices.Equal(stored.report.Suspected, r.Suspected)
	v.urgent = v.urgent || next.unsent
	if stored != nil {
		v.markMissingLost(stored.members, members, createdAt)
	}
	v.reports[r.Source] = next
	v.observeReport(next, from, now)
	for _, id := range r.Suspected {
		if !v.reportedByOther(id, r, now) {
			v.markLost(id, createdAt)
		}
	}
	next.report = proto.Clone(r).(*pb.ZoneReport)
	next.report.Members = nil
	return true
}

// newerReport reports whether r replaces the stored report. A lower incarnation does so only
// after CrossRegionSuspectTimeout, since the source's clock may have been set back.
func (v *View) newerReport(stored *storedReport, r *pb.ZoneReport, now time.Time) bool {
	if r.Incarnation != stored.report.Incarnation {
		return r.Incarnation > stored.report.Incarnation || now.Sub(stored.createdAt) > CrossRegionSuspectTimeout
	}
	return r.Seq > stored.report.Seq
}

// regionOf returns the region of a member, or the empty string.
func (v *View) regionOf(id string) string {
	if s := v.members[id]; s != nil {
		return s.Member.Region
	}
	return ""
}

// reportMembers returns the members of a report: the included ones or, if there are none,
// those of a stored report with the same digest. It returns nil if there is no such report
// or the included members don't match the digest.
func (v *View) reportMembers(stored *storedReport, r *pb.ZoneReport) []*pb.Member {
	if len(r.Members) > 0 {
		if membersDigest(r.Members) != r.Digest {
			return nil
		}
		return r.Members
	}
	if stored != nil && stored.report.Digest == r.Digest {
		return stored.members
	}
	for _, other := range v.reports {
		if other.report.Zone == r.Zone && other.report.Digest == r.Digest {
			return other.members
		}
	}
	return nil
}

// markMissingLost marks members as lost that are listed in before but not in after.
func (v *View) markMissingLost(before, after []*pb.Member, seenAt time.Time) {
	present := map[string]bool{}
	for _, m := range after {
		present[m.Id] = true
	}
	for _, m := range before {
		if !present[m.Id] {
			v.markLost(m.Id, seenAt)
		}
	}
}

// observeReport updates the members that a report lists as alive.
func (v *View) observeReport(stored *storedReport, from string, now time.Time) {
	r := stored.report
	for i, record := range stored.members {
		m := proto.Clone(record).(*pb.Member)
		m.AppliedOffset = r.Applied
		if i < len(r.Behind) {
			m.AppliedOffset -= int64(r.Behind[i])
		}
		if i < len(r.Loads) {
			m.Load = r.Loads[i]
		}
		v.observe(m, stored.createdAt, v.suspectTimeout(m, r.Source, from), now)
	}
	if r.SourceLost {
		v.markLost(r.Source, stored.createdAt)
	}
}

// reportedByOther reports whether another daemon of the reported data centre, which r does
// not suspect, lists the member as alive in a fresh report. The members of a data centre may
// be partitioned from each other and still be reachable from here.
func (v *View) reportedByOther(id string, r *pb.ZoneReport, now time.Time) bool {
	for source, stored := range v.reports {
		if stored.report.Zone != r.Zone || slices.Contains(r.Suspected, source) || now.Sub(stored.createdAt) > ReportedSuspectTimeout {
			continue
		}
		if slices.ContainsFunc(stored.members, func(m *pb.Member) bool { return m.Id == id }) {
			return true
		}
	}
	return false
}

// suspectTimeout returns the silence after which a member of another data centre is
// suspected, given the source of the report that lists it and the daemon that sent it.
func (v *View) suspectTimeout(m *pb.Member, source, from string) time.Duration {
	switch {
	case m.Region != v.self.Region:
		return CrossRegionSuspectTimeout
	case m.Id != source:
		return ReportedSuspectTimeout
	case from == source:
		return SuspectTimeout
	}
	return RelayedSuspectTimeout
}

// HandleZoneRequest returns the requested reports with their members.
func (v *View) HandleZoneRequest(now time.Time, from string, m *pb.ZoneRequest) []OutboundMessage {
	var reports []*pb.ZoneReport
	for _, source := range m.Sources {
		if source == v.self.Id {
			reports = append(reports, v.makeOwnReport(now))
		} else if stored := v.reports[source]; stored != nil {
			reports = append(reports, v.forwardReport(stored, now, true, true))
		}
	}
	if len(reports) == 0 {
		return nil
	}
	return []OutboundMessage{{Address: m.Address, Message: v.zoneReportsEnvelope(from, reports)}}
}

// forwardReport returns a copy of a stored report to send to another daemon, with its
// present age.
func (v *View) forwardReport(stored *storedReport, now time.Time, withMembers, withLoads bool) *pb.ZoneReport {
	r := proto.Clone(stored.report).(*pb.ZoneReport)
	r.AgeMs = uint32(max(0, now.Sub(stored.createdAt).Milliseconds()))
	r.SourceLost = v.isSourceLost(stored, now)
	if withMembers {
		r.Members = stored.members
	} else {
		r.Zone, r.Region = "", ""
	}
	if !withLoads {
		r.Loads = nil
	}
	return r
}

// isSourceLost reports whether the source of a report is unknown, or is suspected and was
// not seen after the report.
func (v *View) isSourceLost(stored *storedReport, now time.Time) bool {
	s := v.members[stored.report.Source]
	return s == nil || (v.Suspected(s, now) && !s.LastSeen.After(stored.createdAt))
}

// markLostSources marks the reports whose source has been lost, to be forwarded at once.
func (v *View) markLostSources(now time.Time) {
	for _, stored := range v.reports {
		if !stored.sourceLost && v.isSourceLost(stored, now) {
			stored.sourceLost, stored.unsent, v.urgent = true, true, true
		}
	}
}

// zoneReportsEnvelope returns a message with reports for the member with id to.
func (v *View) zoneReportsEnvelope(to string, reports []*pb.ZoneReport) *pb.Envelope {
	m := &pb.ZoneReports{
		Address: v.self.PeerAddress,
		Zone:    v.self.Zone,
		Seq:     v.self.Seq,
		Echo:    v.lastSeqFrom(to),
		Reports: reports,
	}
	return &pb.Envelope{Body: &pb.Envelope_ZoneReports{ZoneReports: m}}
}
