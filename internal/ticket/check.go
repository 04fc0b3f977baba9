package ticket

import "fmt"

// check returns why the ticket can't be applied to the state; ReasonNone when it can.
func (s *State) check(t Ticket) (Reason, string) {
	if detail := s.checkNumbers(t); detail != "" {
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

func (s *State) checkNumbers(t Ticket) string {
	for _, a := range t.Accounts {
		if last := s.accounts[a.ID].Number; t.Number <= last {
			return staleDetail("account", a.ID, last)
		}
	}
	for _, service := range t.Services {
		if last := s.services[service.ID].Number; t.Number <= last {
			return staleDetail("service", service.ID, last)
		}
	}
	for _, server := range t.Servers {
		if last := s.servers[server.ID].Number; t.Number <= last {
			return staleDetail("server", server.ID, last)
		}
	}
	return ""
}

func staleDetail(kind, id string, last uint64) string {
	return fmt.Sprintf("%s %s already has ticket %d", kind, id, last)
}

// checkServices lets a removed server name any service, so that servers can be
// removed after their service.
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
			return fmt.Sprintf("server %s names service %s, which is not in use", server.ID, server.Service)
		}
	}
	return ""
}

// checkKeys refuses an API key that an account outside the ticket holds.
// Parse refuses one that two accounts of the ticket hold.
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
	for id, held := range s.accounts {
		if inTicket[id] || held.Value.Presence == PresenceRemoved {
			continue
		}
		for _, hash := range held.Value.KeyHashes {
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
