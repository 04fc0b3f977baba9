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

// Numbers of client accounts. The first largeAccountCount of them are large.
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

// loadSpec is a named load. callers returns its callers for a number of daemons and a length
// of the run.
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

// newCaller returns a caller with its own seeded sequence of request sizes.
func newCaller(account, number, daemon int) load.Caller {
	rng := rand.New(rand.NewPCG(uint64(account), uint64(number)))
	prompt, low, high := smallPrompt, smallAnswerMin, smallAnswerMax
	if account < largeAccountCount {
		prompt, low, high = largePrompt, largeAnswerMin, largeAnswerMax
	}
	return load.Caller{
		Account:  accountID(account),
		Daemon:   daemon,
		NextSize: func() (int, int) { return prompt, low + rng.IntN(high-low+1) },
	}
}

// callerCount returns the number of callers that keeps an account backlogged.
func callerCount(account int) int {
	if account < largeAccountCount {
		return 18
	}
	return 8
}

// evenLoad keeps every account backlogged, with its callers spread over the daemons.
func evenLoad(daemons int, _ time.Duration) []load.Caller {
	var callers []load.Caller
	for a := range accountCount {
		for n := range callerCount(a) {
			callers = append(callers, newCaller(a, n, (a+n)%daemons))
		}
	}
	return callers
}

// singleDaemonLoad is evenLoad with all callers at one daemon.
func singleDaemonLoad(daemons int, length time.Duration) []load.Caller {
	callers := evenLoad(daemons, length)
	for i := range callers {
		callers[i].Daemon = 0
	}
	return callers
}

// floodCallers is the number of callers of the flooding account.
const floodCallers = 400

// floodLoad has one account flood all daemons, while each of the others has one caller that
// pauses 200 ms between requests.
func floodLoad(daemons int, _ time.Duration) []load.Caller {
	var callers []load.Caller
	for n := range floodCallers {
		callers = append(callers, newCaller(0, n, n%daemons))
	}
	for a := 1; a < accountCount; a++ {
		c := newCaller(a, 0, a%daemons)
		c.ThinkTime = 200 * time.Millisecond
		callers = append(callers, c)
	}
	return callers
}

// rampUpLoad is evenLoad with callers that start one by one over the first half of the run,
// in the order of their accounts.
func rampUpLoad(daemons int, length time.Duration) []load.Caller {
	callers := evenLoad(daemons, length)
	for i := range callers {
		callers[i].StartDelay = length / 2 * time.Duration(i) / time.Duration(len(callers))
	}
	return callers
}

// wrongHintsLoad is evenLoad with token limits ten times too high for every second account.
func wrongHintsLoad(daemons int, length time.Duration) []load.Caller {
	callers := evenLoad(daemons, length)
	for i := range callers {
		if callers[i].Account[len(callers[i].Account)-1]%2 == 0 {
			callers[i].HintFactor = 10
		}
	}
	return callers
}
