package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	maxBodyBytes   = 4194304 // MaxBodyBytes of the configuration
	usualBodyBytes = 12000
	// burstClients is the number of clients of a burst at each daemon: of the 27 clients of zone tw-north-c, 2.49 times as many,
	// at two machines.
	burstClients = 34
	bursts       = 3
	burstPause   = 12 * time.Second
	// linkBytesPerSecond is the bandwidth of a machine's link, which its clients share.
	linkBytesPerSecond = 1000e6 / 8
	memoryPollPeriod   = 5 * time.Millisecond
	restartDelay       = 500 * time.Millisecond
)

// memoryKills counts the kills for too much memory, by daemon.
type memoryKills struct {
	mu    sync.Mutex
	count map[string]int
}

// enforceMemory kills a daemon whose memory exceeds its limit, as the platform does, and starts it again.
func (f *fleet) enforceMemory(d *daemonProcess, kills *memoryKills) {
	peak := 0
	for {
		time.Sleep(memoryPollPeriod)
		if !d.running() {
			continue
		}
		resident := d.residentMB()
		if resident >= peak+10 {
			peak = resident
			f.rec.printf("daemon %s has %d MB of resident memory", d.id, resident)
		}
		if resident <= d.memoryMB {
			continue
		}
		f.rec.printf("PLATFORM: daemon %s exceeds its memory, %d of %d MB, and is killed", d.id, resident, d.memoryMB)
		d.signal(syscall.SIGKILL)
		<-d.exited
		kills.mu.Lock()
		kills.count[d.id]++
		kills.mu.Unlock()
		time.Sleep(restartDelay)
		peak = 0
		if err := d.start(); err != nil {
			f.rec.printf("daemon %s could not be started again: %v", d.id, err)
			return
		}
	}
}

// burst sends a request with a body of the size from burstClients new clients at each daemon and waits for the answers.
func (f *fleet) burst(size int) {
	var done sync.WaitGroup
	for i := range burstClients * len(f.daemons) {
		done.Add(1)
		go func() {
			defer done.Done()
			c := &client{address: f.daemons[i%len(f.daemons)].entry, rec: f.rec}
			defer c.close()
			r := draftCall()
			r.body = make([]byte, size)
			r.bytesPerSecond = linkBytesPerSecond / burstClients
			f.rec.printf("burst client %d sends %s %s with %d bytes to %s", i, r.id, r.path, size, c.address)
			o := c.do(r)
			f.rec.printf("burst client %d: %s gets %v", i, r.id, o)
		}()
	}
	done.Wait()
}

// playBodies: many clients send a request with a large body at once.
func playBodies(f *fleet) (string, error) {
	runners, err := f.startRunners(modelService, 6, 64)
	if err != nil {
		return "", err
	}
	for _, r := range runners {
		r.work = func() time.Duration { return 110 * time.Millisecond } // 6,610 tokens at 112 a ms, and the first step
		r.stream = streamDraft(r, func() float64 { return 0 })
	}
	if err := f.startDaemons(); err != nil {
		return "", err
	}
	kills := &memoryKills{count: map[string]int{}}
	for _, d := range f.daemons {
		go f.enforceMemory(d, kills)
	}
	size := usualBodyBytes
	if f.trouble {
		size = maxBodyBytes
	}
	go func() {
		for range bursts {
			time.Sleep(2 * time.Second)
			f.rec.printf("DISRUPTION: many users come at once: %d requests with %d bytes each at each daemon", burstClients, size)
			f.burst(size)
			f.rec.printf("DISRUPTION ends")
			time.Sleep(burstPause - 2*time.Second)
		}
	}()
	outcomes := f.sendSteadily(bursts*burstPause, 25, 56.2, draftCall)
	lost := 0
	for id, o := range outcomes {
		passedOn := slices.ContainsFunc(runners, func(r *runner) bool { return r.arrived(id) })
		if o.kept && o.status == 0 && passedOn {
			lost++
			f.rec.printf("RULE (LOST): %s was passed on to a runner, its kept connection ended without an answer: %v", id, o)
		}
	}
	killedOften := 0
	for id, n := range kills.count {
		f.rec.printf("daemon %s exceeded its memory %d times", id, n)
		if n >= 3 {
			killedOften++
		}
	}
	f.rec.printf("%d usual requests, %d passed on and not answered (three are allowed); %d daemons ended three times (one is allowed)",
		len(outcomes), lost, killedOften)
	switch {
	case killedOften >= 2:
		return fmt.Sprintf("%d of %d daemons exceeded their memory three times; %d usual requests that were passed on got no answer", killedOften, len(f.daemons), lost), nil
	case lost > 3:
		return fmt.Sprintf("%d usual requests that were passed on got no answer, as daemons exceeded their memory", lost), nil
	}
	return "", nil
}
