package ticket

import "fmt"

// check returns the reason why the ticket can't be applied to the state and a
// detail for operators. The reason is ReasonNone if the ticket can be applied.
func (s *State) check(t Ticket) (Reason, string) {
	if detail := s.checkTicketNumbers(t); detail != "" {
		return ReasonStale, detail
	}
	if detail := s.checkServiceReferences(t); detail != "" {
		return ReasonUnknownService, detail
	}
	if detail := s.checkKeyHashes(t); detail != "" {
		return ReasonKeyInUse, detail
	}
	return ReasonNone, ""
}

// checkTicketNumbers rejects a ticket that changes an object last set by the
// same or a higher ticket number. It returns the detail, empty if none.
func (s *State) checkTicketNumbers(t Ticket) string {
	for _, a := range t.Accounts {
		if current := s.accounts[a.ID].Number; t.Number <= current {
			return staleDetail("account", a.ID, current)
		}
	}
	for _, service := range t.Services {
		if current := s.services[service.ID].Number; t.Number <= current {
			return staleDetail("service", service.ID, current)
		}
	}
	for _, server := range t.Servers {
		if current := s.servers[server.ID].Number; t.Number <= current {
			return staleDetail("server", server.ID, current)
		}
	}
	return ""
}

func staleDetail(kind, id string, current uint64) string {
	return fmt.Sprintf("%s %s already has ticket %d", kind, id, current)
}

// checkServiceReferences rejects a server whose service is not active. A
// removed server may refer to any service, so that servers can be removed
// after their service.
func (s *State) checkServiceReferences(t Ticket) string {
	presenceInTicket := map[string]Presence{}
	for _, service := range t.Services {
		presenceInTicket[service.ID] = service.Presence
	}
	for _, server := range t.Servers {
		presence, found := presenceInTicket[server.Service]
		if !found {
			presence = s.services[server.Service].Value.Presence
		}
		if server.State != ServerRemoved && presence != PresenceActive {
			return fmt.Sprintf("server %s refers to service %s, which is not active", server.ID, server.Service)
		}
	}
	return ""
}

// checkKeyHashes rejects an API key that an account outside the ticket holds.
// Parse rejects keys shared by accounts within the ticket. If several accounts
// conflict, the detail names the one with the lowest ID, independent of
// the iteration order of maps.
func (s *State) checkKeyHashes(t Ticket) string {
	inTicket := map[string]bool{}
	ownerByHash := map[string]string{}
	for _, a := range t.Accounts {
		inTicket[a.ID] = true
		for _, hash := range a.KeyHashes {
			ownerByHash[hash] = a.ID
		}
	}
	holder, claimant := "", ""
	for id, existing := range s.accounts {
		if inTicket[id] || existing.Value.Presence == PresenceRemoved {
			continue
		}
		for _, hash := range existing.Value.KeyHashes {
			owner, found := ownerByHash[hash]
			if found && (holder == "" || id < holder) {
				holder, claimant = id, owner
			}
		}
	}
	if holder == "" {
		return ""
	}
	return fmt.Sprintf("account %s has an API key that account %s holds", claimant, holder)
}
