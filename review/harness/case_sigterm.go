package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	sigtermRounds = 5
	gracePeriod   = 8 * time.Second // GracePeriodS
	// stopGap is the time between the stops of two machines.
	stopGap = 1300 * time.Millisecond
	// maxStopDelay bounds the time from the start of a process to its SIGTERM.
	maxStopDelay = 20 * time.Millisecond
	// excusedSends is the time after a SIGTERM in which requests may still be cut at the end of the grace period.
	excusedSends = 3 * time.Second
)

// stopTimes holds the times of the last SIGTERM and SIGKILL by daemon.
type stopTimes struct {
	mu         sync.Mutex
	term, kill map[string]time.Time
}

// startAndStop starts a daemon, sends it SIGTERM soon after, and SIGKILL when it still runs at the end of the grace period. A
// daemon that has ended is started again, as by the platform.
func (f *fleet) startAndStop(d *daemonProcess, times *stopTimes) {
	if d.start() != nil || !f.trouble {
		return
	}
	time.Sleep(rand.N(maxStopDelay))
	f.rec.printf("PLATFORM: SIGTERM for daemon %s", d.id)
	d.signal(syscall.SIGTERM)
	stopped := time.Now()
	select {
	case <-d.exited:
	case <-time.After(gracePeriod):
		times.mu.Lock()
		times.term[d.id], times.kill[d.id] = stopped, time.Now()
		times.mu.Unlock()
		f.rec.printf("PLATFORM: daemon %s still runs at the end of the grace period: SIGKILL", d.id)
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	time.Sleep(restartDelay)
	_ = d.start() // a failure shows as a daemon that is not ready
}

// sentRequest is a request with the daemon that it was sent to.
type sentRequest struct {
	id     string
	daemon string
	o      outcome
	ended  time.Time
}

// resolve asks the directories of up to three daemons where a client of the zone connects, as clients do, and returns one of the
// addresses at random. ok is false if none of them names any.
func (f *fleet) resolve(zone string) (d *daemonProcess, ok bool) {
	const tries = 3
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(f.daemons))[:tries] {
		response, err := client.Get("http://" + f.daemons[i].directory + "/api/resolution?Name=ficu95.example&Region=r1&Zone=" + zone)
		if err != nil {
			continue
		}
		var found struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&found)
		response.Body.Close()
		if err != nil || len(found.Addresses) == 0 {
			continue
		}
		address := found.Addresses[rand.IntN(len(found.Addresses))]
		for _, d := range f.daemons {
			if d.entry == address {
				return d, true
			}
		}
	}
	return nil, false
}

// sendByDirectory sends streams to daemons that the directory names, from n clients, until the end. A client asks anew for each
// request, so that it follows the directory at once.
func (f *fleet) sendByDirectory(n int, length time.Duration) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				time.Sleep(rand.N(400 * time.Millisecond))
				d, ok := f.resolve(zones[i%len(zones)])
				if !ok {
					continue
				}
				c := &client{address: d.entry, rec: f.rec}
				r := draftCall()
				f.rec.printf("client %d sends %s %s to %s, which the directory names", i, r.id, r.path, d.id)
				o := c.do(r)
				f.rec.printf("client %d: %s gets %v", i, r.id, o)
				c.close()
				mu.Lock()
				sent = append(sent, sentRequest{r.id, d.id, o, time.Now()})
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return sent
}

// playSigterm: machines are started in turn, and stopped by a SIGTERM while they are starting.
func playSigterm(f *fleet) (string, error) {
	runners, err := f.startRunners(modelService, 6, 64)
	if err != nil {
		return "", err
	}
	for _, r := range runners {
		r.work = func() time.Duration { return 110 * time.Millisecond }
		r.stream = streamDraft(r, func() float64 { return 0 })
	}
	cut, ignored := 0, 0
	for range sigtermRounds {
		times := &stopTimes{term: map[string]time.Time{}, kill: map[string]time.Time{}}
		var cycles sync.WaitGroup
		f.rec.printf("the machines start, one each %v", stopGap)
		for i, d := range f.daemons {
			cycles.Add(1)
			go func() {
				defer cycles.Done()
				time.Sleep(time.Duration(i) * stopGap)
				f.startAndStop(d, times)
			}()
		}
		sent := f.sendByDirectory(60, time.Duration(len(f.daemons)-1)*stopGap+gracePeriod+time.Second)
		cycles.Wait()
		ignored += len(times.kill)
		for _, s := range sent {
			term, kill := times.term[s.daemon], times.kill[s.daemon]
			passedOn := slices.ContainsFunc(runners, func(r *runner) bool { return r.arrived(s.id) })
			if term.IsZero() || s.o.whole || !passedOn || s.o.sentAt.Before(term.Add(excusedSends)) ||
				s.ended.Before(kill) || s.ended.After(kill.Add(time.Second)) {
				continue
			}
			cut++
			f.rec.printf("RULE: %s was sent to %s %v after its SIGTERM, was passed on, and ended without a complete answer: %v",
				s.id, s.daemon, s.o.sentAt.Sub(term).Round(time.Millisecond), s.o)
		}
		for _, d := range f.daemons {
			d.stop()
		}
	}
	f.rec.printf("%d of %d daemons ignored SIGTERM, %d requests were cut", ignored, sigtermRounds*len(f.daemons), cut)
	if cut > 0 {
		return fmt.Sprintf("%d of %d daemons ignored SIGTERM and went on to serve; %d requests were cut at the end of the grace period", ignored, sigtermRounds*len(f.daemons), cut), nil
	}
	return "", nil
}
