// Command harness plays one case of the review: a store, runners and clients as stand-ins, and the project's own daemons as
// processes, on loopback addresses. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// zones are those of the deployment.
var zones = []string{"z-a", "z-b", "z-c"}

const stampDeadline = 1500 * time.Millisecond

// fleet is what a case runs on.
type fleet struct {
	rec     *record
	store   *store
	daemons []*daemonProcess
	trouble bool
}

// cases maps the name of a case to its function, which returns how the rule was broken, empty if it held.
var cases = map[string]struct {
	memoryMB int
	daemons  []string // the zone of each
	play     func(f *fleet) (broken string, err error)
}{
	"bodies":  {134, zones, playBodies},
	"interim": {284, zones, playInterim},
	"order":   {284, zones, playOrder},
	"sigterm": {284, []string{"z-a", "z-a", "z-a", "z-b", "z-b", "z-c", "z-c"}, playSigterm},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	played, ok := cases[name]
	if !ok {
		return fail(fmt.Errorf("unknown case %q", name))
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review-"+name)
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	root, err = filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	s, err := newStore()
	if err != nil {
		return fail(err)
	}
	f := &fleet{rec: rec, store: s, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("case %s, trouble=%t", name, f.trouble)
	putConfig(s, 7)
	f.daemons, err = newDaemons(root, dir, s, rec, played.daemons, played.memoryMB)
	if err != nil {
		return fail(err)
	}
	done := make(chan int, 1)
	go func() { done <- f.play(played.play) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	code := 2
	select {
	case code = <-done:
	case <-signals:
	case <-time.After(caseTimeout):
		rec.printf("the case took too long")
	}
	for _, d := range f.daemons {
		d.retire()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.Rename(filepath.Join(dir, d.id+".log"), filepath.Join(keep, d.id+".log"))
		}
	}
	rec.printf("exit status %d", code)
	return code
}

func (f *fleet) play(play func(*fleet) (string, error)) int {
	broken, err := play(f)
	switch {
	case err != nil:
		f.rec.printf("the case could not run: %v", err)
		return fail(err)
	case broken != "":
		f.rec.printf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	f.rec.printf("the rule held")
	fmt.Println("held")
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return 2
}

// startDaemons starts all daemons and waits until they are ready.
func (f *fleet) startDaemons() error {
	for _, d := range f.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := waitFor(10*time.Second, d.ready); err != nil {
			return fmt.Errorf("daemon %s is not ready: %w", d.id, err)
		}
	}
	f.rec.printf("all daemons are ready")
	time.Sleep(4 * time.Second) // longer than ContactWindowMs: the daemons are in touch
	return nil
}

func waitFor(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not after %v", timeout)
		}
	}
}

// disrupt begins a disruption that comes several times, 2 s after the call and after each end, and returns at once.
func (f *fleet) disrupt(what string, times int, length time.Duration, begin, end func()) {
	if !f.trouble {
		return
	}
	go func() {
		for range times {
			time.Sleep(2 * time.Second)
			f.rec.printf("DISRUPTION: %s", what)
			begin()
			time.Sleep(length)
			end()
			f.rec.printf("DISRUPTION ends")
		}
	}()
}
