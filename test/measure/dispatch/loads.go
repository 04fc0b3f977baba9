package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertrill/filbertrill/test/load"
)

// Sizes of requests, in prompt words and answer tokens.
const (
	smallPrompt    = 20
	largePrompt    = 60
	smallAnswerMin = 10
	smallAnswerMax = 40
	largeAnswerMin = 20
	largeAnswerMax = 80
)

// accountCount is the number of client accounts of each user; the first ones are large.
const (
	accountCount      = 16
	largeAccountCount = 3
)

func accountID(i int) string { return fmt.Sprintf("a%02d", i) }

func isLarge(account string) bool { return account < accountID(largeAccountCount) }

func weights() map[string]float64 {
	w := map[string]float64{}
	for i := range accountCount {
		w[accountID(i)] = 1
	}
	return w
}

// loadSpec makes the callers of a load over some daemons.
type loadSpec struct {
	name    string
	callers func(daemons int, length time.Duration) []load.Caller
}

func loads() []loadSpec {
	return []loadSpec{
		{"even", evenLoad},
		{"bunched", singleDaemonLoad},
		{"flood", floodLoad},
		{"dawn", rampUpLoad},
		{"hints", wrongHintsLoad},
	}
}

// caller returns a caller with its own seeded sequence of sizes.
func newCaller(account, number, daemon int) load.Caller {
	rng := rand.New(rand.NewPCG(uint64(account), uint64(number)))
	prompt, low, high := smallPrompt, smallAnswerMin, smallAnswerMax
	if account < largeAccountCount {
		prompt, low, high = largePrompt, largeAnswerMin, largeAnswerMax
	}
	return load.Caller{
		Account: accountID(account),
		Daemon:  daemon,
		Size:    func() (int, int) { return prompt, low + rng.IntN(high-low+1) },
	}
}

// callersOf is the number of callers of an account when all are backlogged.
func callerCount(account int) int {
	if account < largeAccountCount {
		return 18
	}
	return 8
}

// evenLoad keeps every account backlogged through all daemons.
func evenLoad(daemons int, _ time.Duration) []load.Caller {
	var callers []load.Caller
	for a := range accountCount {
		for n := range callerCount(a) {
			callers = append(callers, newCaller(a, n, (a+n)%daemons))
		}
	}
	return callers
}

// bunchedLoad sends everything through one daemon.
func singleDaemonLoad(daemons int, length time.Duration) []load.Caller {
	callers := evenLoad(daemons, length)
	for i := range callers {
		callers[i].Daemon = 0
	}
	return callers
}

// floodCallers is the number of callers of the account that floods.
const floodCallers = 400

// floodLoad lets one account flood through all daemons while the others ask now and then.
func floodLoad(daemons int, _ time.Duration) []load.Caller {
	var callers []load.Caller
	for n := range floodCallers {
		callers = append(callers, newCaller(0, n, n%daemons))
	}
	for a := 1; a < accountCount; a++ {
		c := newCaller(a, 0, a%daemons)
		c.Think = 200 * time.Millisecond
		callers = append(callers, c)
	}
	return callers
}

// dawnLoad brings the callers in over the first half, in the order of their accounts.
func rampUpLoad(daemons int, length time.Duration) []load.Caller {
	callers := evenLoad(daemons, length)
	for i := range callers {
		callers[i].Begin = length / 2 * time.Duration(i) / time.Duration(len(callers))
	}
	return callers
}

// hintsLoad states limits ten times too high for every second account.
func wrongHintsLoad(daemons int, length time.Duration) []load.Caller {
	callers := evenLoad(daemons, length)
	for i := range callers {
		if callers[i].Account[len(callers[i].Account)-1]%2 == 0 {
			callers[i].HintFactor = 10
		}
	}
	return callers
}
