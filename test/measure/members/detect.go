package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// Parameters of the measurement of failure detection.
const (
	detectDaemons      = 7
	detectTimeout      = 60 * time.Second
	detectPollInterval = 20 * time.Millisecond
)

// failureKind is a kind of failure of daemon i, and how to revert it.
type failureKind struct {
	name   string
	fail   func(c *cluster.Cluster, n *cluster.Network, i int) error
	revert func(c *cluster.Cluster, n *cluster.Network, i int) error
}

var failureKinds = []failureKind{
	{
		name:   "freeze",
		fail:   func(c *cluster.Cluster, _ *cluster.Network, i int) error { c.Daemons[i].Pause(); return nil },
		revert: func(c *cluster.Cluster, _ *cluster.Network, i int) error { c.Daemons[i].Resume(); return nil },
	},
	{
		name:   "cut",
		fail:   func(_ *cluster.Cluster, n *cluster.Network, i int) error { return n.Partition(i) },
		revert: func(_ *cluster.Cluster, n *cluster.Network, _ int) error { return n.Heal() },
	},
	{
		name:   "kill",
		fail:   func(c *cluster.Cluster, _ *cluster.Network, i int) error { c.Daemons[i].Kill(); return nil },
		revert: func(c *cluster.Cluster, _ *cluster.Network, i int) error { _, err := c.StartDaemon(i); return err },
	},
}

// measureDetection prints how long the fleet takes to suspect a failed daemon, and to see it as
// live again, per kind of failure.
func measureDetection(f flags, logs *os.File) error {
	network, err := cluster.NewNetwork(detectDaemons)
	if err != nil {
		return err
	}
	defer network.Close()
	c, err := startFleet(f, detectDaemons, network, logs)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, kind := range failureKinds {
		var suspected, recovered []time.Duration
		for trial := range f.Trials {
			victim := trial % detectDaemons
			toSuspect, toRecover, err := measureFailure(c, network, kind, victim)
			if err != nil {
				return errors.Wrapf(err, "%s of daemon %d", kind.name, victim+1)
			}
			suspected, recovered = append(suspected, toSuspect), append(recovered, toRecover)
		}
		printTimes("detect."+kind.name, suspected)
		printTimes("return."+kind.name, recovered)
	}
	return nil
}

// measureFailure makes a daemon fail and recover. It returns the time from the failure until
// all others suspect it, and from the recovery until all see it as live.
func measureFailure(c *cluster.Cluster, n *cluster.Network, kind failureKind, victim int) (toSuspect, toRecover time.Duration, err error) {
	start := time.Now()
	if err := kind.fail(c, n, victim); err != nil {
		return 0, 0, err
	}
	if toSuspect, err = waitForAgreement(c, victim, false, start); err != nil {
		return 0, 0, err
	}
	start = time.Now()
	if err := kind.revert(c, n, victim); err != nil {
		return 0, 0, err
	}
	toRecover, err = waitForAgreement(c, victim, true, start)
	return toSuspect, toRecover, err
}

// waitForAgreement waits until all other daemons see the victim as live or not live, and
// returns the time since start.
func waitForAgreement(c *cluster.Cluster, victim int, live bool, start time.Time) (time.Duration, error) {
	for time.Since(start) < detectTimeout {
		agreed := true
		for i := range c.Daemons {
			if i != victim && agreed {
				agreed = seesLive(c, i, c.Daemons[victim].Name) == live
			}
		}
		if agreed {
			return time.Since(start), nil
		}
		time.Sleep(detectPollInterval)
	}
	return 0, errors.New("the other daemons did not agree on the state of the failed daemon in time")
}

// seesLive reports whether daemon i sees the named one as live.
func seesLive(c *cluster.Cluster, i int, name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client, closer, err := peer.DialOperator(ctx, c.Daemons[i].Field("peers"), cluster.Secret)
	if err != nil {
		return false
	}
	defer func(closer io.Closer) { _ = closer.Close() }(closer)
	status, err := client.Status(ctx, &pb.StatusRequest{})
	if err != nil {
		return false
	}
	for _, m := range status.Members {
		if m.Member.Id == name {
			return !m.Suspected && m.Member.State == pb.MemberState_MEMBER_STATE_LIVE
		}
	}
	return false
}

// printTimes prints the number of the times, their median and their 99th percentile.
func printTimes(name string, times []time.Duration) {
	slices.Sort(times)
	fmt.Printf("%s.trials=%d\n", name, len(times))
	fmt.Printf("%s.p50_s=%.2f\n", name, times[len(times)/2].Seconds())
	fmt.Printf("%s.p99_s=%.2f\n", name, times[len(times)*99/100].Seconds())
}
