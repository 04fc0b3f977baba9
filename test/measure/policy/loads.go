package main

import (
	"time"

	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

// Sizes of the users' fleets and of the loads.
const (
	zones          = 3
	daemons        = 7
	accounts       = 16
	smallAccount   = accounts - 1
	slots          = 4   // of each server
	sharedPrefixes = 8   // of each account
	cachedPrefixes = 32  // on each server: a quarter of all
	rate           = 100 // cost that a slot delivers in a second
	length         = 60 * time.Second
	settle         = 5 * time.Second
)

type size struct {
	name    string
	runners int
}

func sizes() []size { return []size{{"seafood", 12}, {"dairy", 9}} }

func (s size) servers() []dispatchsim.Server {
	var servers []dispatchsim.Server
	for i := range s.runners {
		servers = append(servers, dispatchsim.Server{Zone: i % zones, Slots: slots})
	}
	return servers
}

// load is what the accounts offer.
type load struct {
	name     string
	hintOff  float64
	accounts func() []dispatchsim.Account
}

func loads() []load {
	return []load{
		{name: "even", accounts: even},
		{name: "bunched_daemon", accounts: func() []dispatchsim.Account { return placed(0) }},
		{name: "bunched_zone", accounts: func() []dispatchsim.Account { return placed(0, 3, 6) }},
		{name: "flood", accounts: flood},
		{name: "dawn", accounts: dawn},
		{name: "prefixes", accounts: prefixes},
		{name: "wrong_hints", accounts: even, hintOff: 10},
	}
}

// request draws a cost between 20 and 200: 0.2 to 2 seconds of a slot.
func request(r *dispatchsim.Rand) float64 { return 20 + 180*r.Float64()*r.Float64() }

// placed returns accounts that all wait, the first three with more callers, at the daemons.
func placed(at ...int) []dispatchsim.Account {
	var all []dispatchsim.Account
	for i := range accounts {
		outstanding := 12
		if i < 3 {
			outstanding = 48
		}
		all = append(all, dispatchsim.Account{Weight: 1, Daemons: at, Outstanding: outstanding, Cost: request})
	}
	return all
}

func everywhere() []int {
	var at []int
	for i := range daemons {
		at = append(at, i)
	}
	return at
}

func even() []dispatchsim.Account { return placed(everywhere()...) }

// prefixes has requests that share their prompts' beginnings with others of the account.
func prefixes() []dispatchsim.Account {
	all := even()
	for i := range all {
		all[i].SharedPrefixes = sharedPrefixes
	}
	return all
}

// flood has one account with many times the others' load, and a small one with a request now and then.
func flood() []dispatchsim.Account {
	all := even()
	all[0].Outstanding = 12_000
	all[smallAccount] = dispatchsim.Account{Weight: 1, Daemons: []int{1}, MeanInterval: 500 * time.Millisecond, Cost: request}
	return all
}

// dawn has half of the accounts begin after a third of the run.
func dawn() []dispatchsim.Account {
	all := even()
	for i := range accounts / 2 {
		all[2*i].Start = length / 3
		all[2*i].Outstanding *= 4
	}
	return all
}
