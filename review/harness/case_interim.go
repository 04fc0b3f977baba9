package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Rates of the requests to the registry of mtesz-cert, a second.
const (
	stampsPerSecond        = 33.7
	verificationsPerSecond = 13.5
)

// playInterim: a runner spoils some of its answers: bytes that are not the response precede them.
func playInterim(f *fleet) (string, error) {
	runners, err := f.startRunners(registryService, 3, 6)
	if err != nil {
		return "", err
	}
	if err := f.startDaemons(); err != nil {
		return "", err
	}
	spoiled := runners[0]
	f.disrupt("garble at one of three runners, 0.0289 of its answers for 5.42 s", 3, 5420*time.Millisecond,
		func() { spoiled.locked(func() { spoiled.strayShare = 0.0289 }) },
		func() { spoiled.locked(func() { spoiled.strayShare = 0 }) })
	outcomes := f.sendSteadily(24*time.Second, 10, stampsPerSecond+verificationsPerSecond, func() call {
		if rand.Float64() < verificationsPerSecond/(stampsPerSecond+verificationsPerSecond) {
			return verifyCall()
		}
		return stampCall()
	})
	unsigned := 0
	for id, o := range outcomes {
		if o.status/100 == 2 && o.signature == "" {
			unsigned++
			f.rec.printf("RULE: %s got %v", id, o)
		}
	}
	f.rec.printf("%d requests, %d successes without the runner's signature", len(outcomes), unsigned)
	if unsigned > 0 {
		return fmt.Sprintf("%d of %d requests were answered with a success without a runner's signature", unsigned, len(outcomes)), nil
	}
	return "", nil
}
