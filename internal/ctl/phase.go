package ctl

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// phaseNames maps ticket phases to their names in flags and output.
var phaseNames = map[pb.TicketPhase]string{
	pb.TicketPhase_TICKET_PHASE_UNKNOWN:  "unknown",
	pb.TicketPhase_TICKET_PHASE_LOGGED:   "logged",
	pb.TicketPhase_TICKET_PHASE_VALID:    "valid",
	pb.TicketPhase_TICKET_PHASE_REJECTED: "rejected",
	pb.TicketPhase_TICKET_PHASE_ACCEPTED: "accepted",
	pb.TicketPhase_TICKET_PHASE_IN_FORCE: "in-force",
}

func phaseName(phase pb.TicketPhase) string {
	if name, ok := phaseNames[phase]; ok {
		return name
	}
	return "phase-" + strconv.Itoa(int(phase))
}

// phaseByName returns the phase with the given name, or TICKET_PHASE_UNKNOWN if there is none.
func phaseByName(name string) pb.TicketPhase {
	for phase, candidate := range phaseNames {
		if candidate == name {
			return phase
		}
	}
	return pb.TicketPhase_TICKET_PHASE_UNKNOWN
}

// ticketView is the status of a ticket as printed.
type ticketView struct {
	Number     uint64          `json:"number"`
	Offset     *int64          `json:"offset"` // null when the phase is unknown
	Phase      string          `json:"phase"`
	ResultCode uint32          `json:"resultCode"`
	Detail     string          `json:"detail"`
	AppliedBy  []string        `json:"appliedBy"`
	Missing    []string        `json:"missing"`
	Digest     string          `json:"digest"`     // SHA-256 of the ticket that holds the number; may be truncated
	AnsweredBy string          `json:"answeredBy"` // ID of the daemon
	KnownAgeMS int64           `json:"knownAgeMs"` // time since the daemon last had every accepted ticket; -1 if it never had
	FactAgeMS  int64           `json:"factAgeMs"`  // age of the oldest heartbeat used for appliedBy and missing
	Ticket     json.RawMessage `json:"ticket,omitempty"`
}

func newTicketView(status *pb.TicketStatus) ticketView {
	view := ticketView{
		Number:     status.GetNumber(),
		Phase:      phaseName(status.GetPhase()),
		ResultCode: status.GetResultCode(),
		Detail:     status.GetDetail(),
		AppliedBy:  sortedNames(status.GetAppliedBy()),
		Missing:    sortedNames(status.GetMissing()),
		Digest:     status.GetDigest(),
		AnsweredBy: status.GetAnsweredBy(),
		KnownAgeMS: status.GetKnownAgeMs(),
		FactAgeMS:  status.GetOldestFactMs(),
	}
	if status.GetPhase() != pb.TicketPhase_TICKET_PHASE_UNKNOWN && status.GetOffset() >= 0 {
		offset := status.GetOffset()
		view.Offset = &offset
	}
	if json.Valid(status.GetTicket()) {
		view.Ticket = status.GetTicket()
	}
	return view
}

// sortedNames returns a sorted copy that is never nil.
func sortedNames(names []string) []string {
	list := append([]string{}, names...)
	slices.Sort(list)
	return list
}

func (v ticketView) formatOffset() string {
	if v.Offset == nil {
		return "-"
	}
	return strconv.FormatInt(*v.Offset, 10)
}

func (s *session) printTicket(view ticketView) error {
	header := []string{"ticket", strconv.FormatUint(view.Number, 10)}
	rows := [][]string{
		{"phase", view.Phase},
		{"offset", view.formatOffset()},
		{"result code", strconv.FormatUint(uint64(view.ResultCode), 10)},
		{"detail", orDash(view.Detail)},
		{"applied by", orDash(strings.Join(view.AppliedBy, ", "))},
		{"missing", orDash(strings.Join(view.Missing, ", "))},
		{"digest", orDash(view.Digest)},
		{"answered by", orDash(view.AnsweredBy)},
		{"knowledge age", formatAge(view.KnownAgeMS)},
		{"oldest fact", formatAge(view.FactAgeMS)},
	}
	return s.table(header, rows)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatAge formats an age in milliseconds; a negative age means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return formatMilliseconds(ms)
}
