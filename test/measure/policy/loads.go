package main

import (
	"time"

	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

// Sizes of the users' fleets and of the loads.
const (
	zones                   = 3
	daemons                 = 7
	accounts                = 16
	smallAccount            = accounts - 1
	slotsPerServer          = 4   // of each server
	prefixesPerAccount      = 8   // of each account
	cachedPrefixesPerServer = 32  // on each server: a quarter of all
	costPerSecond           = 100 // cost that a slot delivers in a second
	length                  = 60 * time.Second
	warmUp                  = 5 * time.Second
)

type size struct {
	name    string
	engines int
}

func sizes() []size { return []size{{"seafood", 12}, {"dairy", 9}} }

func (s size) servers() []dispatchsim.Server {
	var servers []dispatchsim.Server
	for i := range s.engines {
		servers = append(servers, dispatchsim.Server{Zone: i % zones, Slots: slotsPerServer})
	}
	return servers
}

// load is what the accounts offer.
type load struct {
	name            string
	hintErrorFactor float64
	accounts        func() []dispatchsim.Account
}

func loads() []load {
	return []load{
		{name: "even", accounts: evenLoad},
		{name: "bunched_daemon", accounts: func() []dispatchsim.Account { return backloggedAccounts(0) }},
		{name: "bunched_zone", accounts: func() []dispatchsim.Account { return backloggedAccounts(0, 3, 6) }},
		{name: "flood", accounts: floodLoad},
		{name: "dawn", accounts: lateStartLoad},
		{name: "prefixes", accounts: sharedPrefixLoad},
		{name: "wrong_hints", accounts: evenLoad, hintErrorFactor: 10},
	}
}

// request draws a cost between 20 and 200: 0.2 to 2 seconds of a slot.
func randomCost(r *dispatchsim.Rand) float64 { return 20 + 180*r.Float64()*r.Float64() }

// placed returns accounts that all wait, the first three with more callers, at the daemons.
func backloggedAccounts(daemonIndexes ...int) []dispatchsim.Account {
	var all []dispatchsim.Account
	for i := range accounts {
		outstanding := 12
		if i < 3 {
			outstanding = 48
		}
		all = append(all, dispatchsim.Account{Weight: 1, Daemons: daemonIndexes, Outstanding: outstanding, Cost: randomCost})
	}
	return all
}

func allDaemons() []int {
	var indexes []int
	for i := range daemons {
		indexes = append(indexes, i)
	}
	return indexes
}

func evenLoad() []dispatchsim.Account { return backloggedAccounts(allDaemons()...) }

// prefixes has requests that share their prompts' beginnings with others of the account.
func sharedPrefixLoad() []dispatchsim.Account {
	all := evenLoad()
	for i := range all {
		all[i].SharedPrefixes = prefixesPerAccount
	}
	return all
}

// flood has one account with many times the others' load, and a small one with a request now and then.
func floodLoad() []dispatchsim.Account {
	all := evenLoad()
	all[0].Outstanding = 12_000
	all[smallAccount] = dispatchsim.Account{Weight: 1, Daemons: []int{1}, MeanInterval: 500 * time.Millisecond, Cost: randomCost}
	return all
}

// dawn has half of the accounts begin after a third of the run.
func lateStartLoad() []dispatchsim.Account {
	all := evenLoad()
	for i := range accounts / 2 {
		all[2*i].Start = length / 3
		all[2*i].Outstanding *= 4
	}
	return all
}
