package ctl

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

func fetchStatus(s *session) (*pb.StatusReply, error) {
	return query(s, func(ctx context.Context, client pb.DRPCOperatorClient) (*pb.StatusReply, error) {
		return client.Status(ctx, &pb.StatusRequest{})
	})
}

// statusView is the answering daemon's view of the fleet as printed.
type statusView struct {
	AnsweredBy    string             `json:"answeredBy"`
	AppliedOffset int64              `json:"appliedOffset"`
	LogAgeMS      int64              `json:"logAgeMs"` // time since the last successful read of the log
	LogError      string             `json:"logError"`
	CutOff        bool               `json:"cutOff"`
	KnownAgeMS    int64              `json:"knownAgeMs"`   // time since the daemon last had every accepted ticket; -1 if it never had
	KnownBy       string             `json:"knownBy"`      // source of that knowledge: log, peer or majority
	Delegate      bool               `json:"delegate"`     // whether the daemon reads the log for its data centre
	KnownMembers  uint32             `json:"knownMembers"` // number of members that a majority is computed from
	Members       []memberView       `json:"members"`
	Servers       []serverStatusView `json:"servers"`
	Entries       []string           `json:"entries"`
}

// memberView is the state of a member as printed.
type memberView struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	State         string `json:"state"`
	PeerAddress   string `json:"peerAddress"`
	ClientAddress string `json:"clientAddress"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	AppliedOffset int64  `json:"appliedOffset"`
	ConfigDigest  string `json:"configDigest"`
	Load          uint32 `json:"load"`
	AgeMS         int64  `json:"ageMs"` // time since the daemon last saw the member alive
	Suspected     bool   `json:"suspected"`
	Reason        string `json:"reason"`
}

// serverStatusView is the run-time state of a backend server as printed.
type serverStatusView struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Zone         string `json:"zone"`
	State        string `json:"state"`
	Slots        uint32 `json:"slots"`
	Running      uint32 `json:"running"`
	Health       string `json:"health"`
	ChecksOrders bool   `json:"checksOrders"`
}

func memberState(state pb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "MEMBER_STATE_"))
}

func newMemberView(status *pb.MemberStatus) memberView {
	m := status.GetMember()
	return memberView{
		ID:            m.GetId(),
		Incarnation:   m.GetIncarnation(),
		State:         memberState(m.GetState()),
		PeerAddress:   m.GetPeerAddress(),
		ClientAddress: m.GetClientAddress(),
		Zone:          m.GetZone(),
		Region:        m.GetRegion(),
		AppliedOffset: m.GetAppliedOffset(),
		ConfigDigest:  m.GetConfigDigest(),
		Load:          m.GetLoad(),
		AgeMS:         status.GetAgeMs(),
		Suspected:     status.GetSuspected(),
		Reason:        status.GetReason(),
	}
}

func newStatusView(reply *pb.StatusReply) statusView {
	view := statusView{
		AnsweredBy:    reply.GetAnsweredBy(),
		AppliedOffset: reply.GetAppliedOffset(),
		LogAgeMS:      reply.GetLogAgeMs(),
		LogError:      reply.GetLogError(),
		CutOff:        reply.GetCutOff(),
		KnownAgeMS:    reply.GetKnownAgeMs(),
		KnownBy:       reply.GetKnownBy(),
		Delegate:      reply.GetDelegate(),
		KnownMembers:  reply.GetKnownMembers(),
		Members:       []memberView{},
		Servers:       []serverStatusView{},
		Entries:       append([]string{}, reply.GetEntries()...),
	}
	for _, status := range reply.GetMembers() {
		view.Members = append(view.Members, newMemberView(status))
	}
	for _, server := range reply.GetServers() {
		view.Servers = append(view.Servers, serverStatusView{
			ID:           server.GetId(),
			Service:      server.GetService(),
			Zone:         server.GetZone(),
			State:        server.GetState(),
			Slots:        server.GetSlots(),
			Running:      server.GetRunning(),
			Health:       server.GetHealth(),
			ChecksOrders: server.GetChecksOrders(),
		})
	}
	return view
}

// statusCommand prints the answering daemon's view of the fleet.
type statusCommand struct{}

// Run prints the state of the log, the members and the backend servers.
func (*statusCommand) Run(s *session) error {
	reply, err := fetchStatus(s)
	if err != nil {
		return err
	}
	view := newStatusView(reply)
	if s.json {
		return s.printJSON(view)
	}
	if err := s.printSummary(view); err != nil {
		return err
	}
	if err := s.table(memberHeader, memberRows(view.Members)); err != nil {
		return err
	}
	if err := s.printf("\n"); err != nil {
		return err
	}
	return s.table(serverStatusHeader, serverStatusRows(view.Servers))
}

func (s *session) printSummary(view statusView) error {
	return s.printf("answered by: %s\napplied offset: %d\nlog age: %s\nlog error: %s\ncut off: %t\n"+
		"knowledge age: %s\nknown by: %s\nreads for its data centre: %t\nmembers counted: %d\n\n",
		view.AnsweredBy, view.AppliedOffset, formatAge(view.LogAgeMS), orDash(view.LogError), view.CutOff,
		formatAge(view.KnownAgeMS), orDash(view.KnownBy), view.Delegate, view.KnownMembers)
}

func formatMilliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

var memberHeader = []string{"MEMBER", "STATE", "ZONE", "PEER", "CLIENTS", "OFFSET", "LOAD", "AGE", "SUSPECTED", "REASON"}

func memberRows(members []memberView) [][]string {
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{
			m.ID,
			m.State,
			orDash(m.Zone),
			orDash(m.PeerAddress),
			orDash(m.ClientAddress),
			strconv.FormatInt(m.AppliedOffset, 10),
			strconv.FormatUint(uint64(m.Load), 10),
			formatMilliseconds(m.AgeMS),
			strconv.FormatBool(m.Suspected),
			orDash(m.Reason),
		})
	}
	return rows
}

var serverStatusHeader = []string{"SERVER", "SERVICE", "ZONE", "STATE", "SLOTS", "RUNNING", "HEALTH", "CHECKS ORDERS"}

func serverStatusRows(servers []serverStatusView) [][]string {
	var rows [][]string
	for _, server := range servers {
		rows = append(rows, []string{
			server.ID,
			server.Service,
			orDash(server.Zone),
			orDash(server.State),
			strconv.FormatUint(uint64(server.Slots), 10),
			strconv.FormatUint(uint64(server.Running), 10),
			orDash(server.Health),
			strconv.FormatBool(server.ChecksOrders),
		})
	}
	return rows
}

// membersCommand lists the members.
type membersCommand struct{}

// Run lists the members known to the answering daemon.
func (*membersCommand) Run(s *session) error {
	reply, err := fetchStatus(s)
	if err != nil {
		return err
	}
	members := newStatusView(reply).Members
	return s.print(members, memberHeader, memberRows(members))
}

// entriesCommand lists the addresses that clients connect to.
type entriesCommand struct{}

// Run lists the entries that the answering daemon returns to clients.
func (*entriesCommand) Run(s *session) error {
	reply, err := fetchStatus(s)
	if err != nil {
		return err
	}
	entries := newStatusView(reply).Entries
	var rows [][]string
	for _, entry := range entries {
		rows = append(rows, []string{entry})
	}
	return s.print(entries, []string{"ENTRY"}, rows)
}
