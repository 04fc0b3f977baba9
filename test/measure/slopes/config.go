package main

import (
	"encoding/json"
	"fmt"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

// configSeries measures the time to apply a ticket with one server to states of several sizes,
// and the heap and snapshot sizes of those states.
func configSeries() []series {
	servers := []int{100, 500, 1500, 3000}
	accounts := []int{100, 650, 1300}
	tickets := []int{1000, 5000, 20000}
	return []series{
		{"config.apply", "us", "server", servers, func(n int) float64 { return applyTime(n, 650) }},
		{"config.heap_servers", "bytes", "server", servers, func(n int) float64 { return stateHeap(n, 1) }},
		{"config.heap_accounts", "bytes", "account", accounts, func(n int) float64 { return stateHeap(1, n) }},
		{"config.snapshot_servers", "bytes", "server", servers, func(n int) float64 { return snapshotSize(n, 1, 0) }},
		{"config.snapshot_accounts", "bytes", "account", accounts, func(n int) float64 { return snapshotSize(1, n, 0) }},
		{"config.snapshot_history", "bytes", "ticket", tickets, func(n int) float64 { return snapshotSize(1, 1, n) }},
		{"config.snapshot_encode", "us", "server", servers, snapshotTime},
	}
}

// fullTicket returns a ticket that contains a whole configuration.
func fullTicket(servers, accounts int) ticket.Ticket {
	t := ticket.Ticket{Number: 1, Author: "measure", Reason: "slopes"}
	t.Services = []ticket.Service{{
		ID: "m", Kind: ticket.ServiceModel, Deadline: ticket.DefaultDeadline, IdleLimit: ticket.DefaultIdleLimit,
		CutOff: ticket.CutOffRefuse, Scope: ticket.ScopeZone, Presence: ticket.PresenceActive,
	}}
	for i := range accounts {
		t.Accounts = append(t.Accounts, ticket.Account{
			ID: fmt.Sprintf("account-%04d", i), Weight: 1, KeyHashes: []string{fmt.Sprintf("%064x", i+1)},
			MaxQueued: 1, MaxQueuedBytes: 1, Presence: ticket.PresenceActive,
		})
	}
	for i := range servers {
		t.Servers = append(t.Servers, server(i, serverSlots))
	}
	return t
}

// serverSlots is the number of slots of each server.
const serverSlots = 64

func server(i, slots int) ticket.Server {
	return ticket.Server{
		ID: fmt.Sprintf("server-%04d", i), Service: "m", Address: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256),
		Zone: "z01", Slots: slots, State: ticket.ServerJoined,
	}
}

func newState(servers, accounts int) *ticket.State {
	s := ticket.NewState()
	mustApply(s, fullTicket(servers, accounts))
	return s
}

func mustApply(s *ticket.State, t ticket.Ticket) {
	record, err := ticket.Encode(t)
	if err != nil {
		panic(err)
	}
	if v := s.Apply(s.NextOffset(), record); v.Outcome != ticket.OutcomeApplied {
		panic(fmt.Sprintf("ticket %d: %s %s %s", t.Number, v.Outcome, v.Reason, v.Detail))
	}
}

// applyTime returns the microseconds to apply a ticket with one server and build the new Config.
func applyTime(servers, accounts int) float64 {
	s := newState(servers, accounts)
	number := uint64(1)
	return microsecondsPerCall(func() {
		number++
		t := ticket.Ticket{Number: number, Author: "measure", Reason: "slopes"}
		t.Servers = []ticket.Server{server(0, 1+int(number%8))}
		mustApply(s, t)
		s.Config()
	})
}

func stateHeap(servers, accounts int) float64 {
	return heapGrowth(func() any {
		s := newState(servers, accounts)
		return []any{s, s.Config()}
	})
}

func snapshotSize(servers, accounts, tickets int) float64 {
	s := newState(servers, accounts)
	for i := range tickets {
		t := ticket.Ticket{Number: uint64(i + 2), Author: "measure", Reason: "slopes"}
		t.Servers = []ticket.Server{server(0, 1+i%8)}
		mustApply(s, t)
	}
	return float64(len(encodeSnapshot(s)))
}

func snapshotTime(servers int) float64 {
	s := newState(servers, 650)
	return microsecondsPerCall(func() { encodeSnapshot(s) })
}

func encodeSnapshot(s *ticket.State) []byte {
	data, err := json.Marshal(s.Snapshot())
	if err != nil {
		panic(err)
	}
	return data
}
