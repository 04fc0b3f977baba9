package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// startRunners starts runners of a service, by turns in the three zones.
func (f *fleet) startRunners(service string, count, slots int) ([]*runner, error) {
	var runners []*runner
	for i := range count {
		r, err := newRunner(f.store, f.rec, fmt.Sprintf("i-%08x", 0x5e91a0+i), service, zones[i%len(zones)], slots)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

// sendSteadily sends requests from clientsPerDaemon clients to each daemon, perSecond in all, until the end. It returns the
// outcomes by attempt id.
func (f *fleet) sendSteadily(length time.Duration, clientsPerDaemon int, perSecond float64, next func() call) map[string]outcome {
	outcomes := map[string]outcome{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	clients := clientsPerDaemon * len(f.daemons)
	pause := float64(clients) / perSecond * float64(time.Second)
	end := time.Now().Add(length)
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{address: f.daemons[i%len(f.daemons)].entry, rec: f.rec}
			defer c.close()
			for at := time.Now(); ; {
				at = at.Add(time.Duration(rand.Float64() * 2 * pause))
				time.Sleep(time.Until(at))
				if time.Now().After(end) {
					return
				}
				r := next()
				f.rec.printf("client %d sends %s %s %s to %s", i, r.id, r.method, r.path, c.address)
				o := c.do(r)
				f.rec.printf("client %d: %s gets %v", i, r.id, o)
				mu.Lock()
				outcomes[r.id] = o
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return outcomes
}
