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

// Fleet and times of the detection of failures.
const (
	detectDaemons = 7
	detectTimeout = 60 * time.Second
	detectPoll    = 20 * time.Millisecond
)

// failure is a way for a daemon to fail, and the way back.
type failure struct {
	name string
	fail func(c *cluster.Cluster, n *cluster.Network, i int) error
	mend func(c *cluster.Cluster, n *cluster.Network, i int) error
}

var failures = []failure{
	{
		name: "freeze",
		fail: func(c *cluster.Cluster, _ *cluster.Network, i int) error { c.Daemons[i].Freeze(); return nil },
		mend: func(c *cluster.Cluster, _ *cluster.Network, i int) error { c.Daemons[i].Thaw(); return nil },
	},
	{
		name: "cut",
		fail: func(_ *cluster.Cluster, n *cluster.Network, i int) error { return n.Part(i) },
		mend: func(_ *cluster.Cluster, n *cluster.Network, _ int) error { return n.Heal() },
	},
	{
		name: "kill",
		fail: func(c *cluster.Cluster, _ *cluster.Network, i int) error { c.Daemons[i].Kill(); return nil },
		mend: func(c *cluster.Cluster, _ *cluster.Network, i int) error { _, err := c.StartDaemon(i); return err },
	},
}

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
	for _, kind := range failures {
		var found, back []time.Duration
		for trial := range f.Trials {
			victim := trial % detectDaemons
			out, in, err := detectOnce(c, network, kind, victim)
			if err != nil {
				return errors.Wrapf(err, "%s of daemon %d", kind.name, victim+1)
			}
			found, back = append(found, out), append(back, in)
		}
		printTimes("detect."+kind.name, found)
		printTimes("return."+kind.name, back)
	}
	return nil
}

// detectOnce fails a daemon and returns how long it takes until all others suspect it,
// and after the end of the failure until all take it for live.
func detectOnce(c *cluster.Cluster, n *cluster.Network, kind failure, victim int) (out, in time.Duration, err error) {
	began := time.Now()
	if err := kind.fail(c, n, victim); err != nil {
		return 0, 0, err
	}
	if out, err = await(c, victim, false, began); err != nil {
		return 0, 0, err
	}
	began = time.Now()
	if err := kind.mend(c, n, victim); err != nil {
		return 0, 0, err
	}
	in, err = await(c, victim, true, began)
	return out, in, err
}

// await returns the time since began at which every other daemon agrees on the victim.
func await(c *cluster.Cluster, victim int, live bool, began time.Time) (time.Duration, error) {
	for time.Since(began) < detectTimeout {
		agreed := true
		for i := range c.Daemons {
			if i != victim && agreed {
				agreed = seesLive(c, i, c.Daemons[victim].Name) == live
			}
		}
		if agreed {
			return time.Since(began), nil
		}
		time.Sleep(detectPoll)
	}
	return 0, errors.New("the daemons did not agree in time")
}

// seesLive reports whether daemon i takes the named one for live.
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

func printTimes(name string, times []time.Duration) {
	slices.Sort(times)
	fmt.Printf("%s.trials=%d\n", name, len(times))
	fmt.Printf("%s.p50_s=%.2f\n", name, times[len(times)/2].Seconds())
	fmt.Printf("%s.p99_s=%.2f\n", name, times[len(times)*99/100].Seconds())
}
