package main

import (
	"time"

	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

// Sizes of the simulated fleets and loads.
const (
	zones                   = 3
	daemons                 = 7
	accounts                = 16
	smallAccount            = accounts - 1
	slotsPerServer          = 4
	prefixesPerAccount      = 8
	cachedPrefixesPerServer = 32  // a quarter of all prefixes
	costPerSecond           = 100 // that one slot delivers
	length                  = 60 * time.Second
	warmUp                  = 5 * time.Second
)

// size is a fleet size.
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

// load is a named set of accounts with the requests that they submit.
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

// randomCost returns a cost between 20 and 200, which takes a slot 0.2 to 2 seconds.
func randomCost(r *dispatchsim.Rand) float64 { return 20 + 180*r.Float64()*r.Float64() }

// backloggedAccounts returns accounts that always have waiting requests at the daemons with
// the given indexes. The first three have four times as many as the others.
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

// sharedPrefixLoad is evenLoad with prompt prefixes that the requests of an account share.
func sharedPrefixLoad() []dispatchsim.Account {
	all := evenLoad()
	for i := range all {
		all[i].SharedPrefixes = prefixesPerAccount
	}
	return all
}

// floodLoad is evenLoad with one account that has 12,000 outstanding requests and a small
// account that submits a request every 500 ms on average.
func floodLoad() []dispatchsim.Account {
	all := evenLoad()
	all[0].Outstanding = 12_000
	all[smallAccount] = dispatchsim.Account{Weight: 1, Daemons: []int{1}, MeanInterval: 500 * time.Millisecond, Cost: randomCost}
	return all
}

// lateStartLoad is evenLoad with half of the accounts starting after a third of the run, at
// four times the load.
func lateStartLoad() []dispatchsim.Account {
	all := evenLoad()
	for i := range accounts / 2 {
		all[2*i].Start = length / 3
		all[2*i].Outstanding *= 4
	}
	return all
}
