package main

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/load"
)

const (
	model        = "drafter"
	readyTimeout = 30 * time.Second
)

var zones = []string{"z1", "z2", "z3"}

// fleet is a running fleet with slow and lossy links between data centres, whose traffic is
// metered.
type fleet struct {
	cluster *cluster.Cluster
	network *cluster.Network
	meter   *cluster.Meter
}

func newFleet(f flags, p policy, logs io.Writer) (*fleet, error) {
	network, err := cluster.NewNetwork(daemons)
	if err != nil {
		return nil, err
	}
	fl := &fleet{network: network, meter: cluster.NewMeter()}
	zone := func(i int) string { return zones[i%len(zones)] }
	if err := network.ForEachBetweenZones(zone, fl.addNetworkFaults); err != nil {
		return nil, err
	}
	fl.cluster, err = cluster.New(cluster.Options{
		BinDir: f.Bin, LogOutput: logs, Zones: zones, Daemons: daemons, Network: network, DaemonArgs: p.args,
	})
	if err != nil {
		return nil, err
	}
	return fl, fl.configure(f)
}

// addNetworkFaults adds the meter, latency and packet loss to the link.
func (fl *fleet) addNetworkFaults(l *cluster.Link) error {
	return errors.CombineErrors(l.AddMeter(fl.meter), errors.CombineErrors(
		l.AddLatency(linkLatencyMS, linkJitterMS),
		l.SimulatePacketLoss(linkLossProbability, retransmissionMS),
	))
}

func (fl *fleet) configure(f flags) error {
	servers, err := startEngines(f, fl.cluster)
	if err != nil {
		return err
	}
	t := ticket.Ticket{Number: 1, Author: "measure", Reason: "fleet", Servers: servers}
	t.Services = []ticket.Service{{ID: model, Kind: ticket.ServiceModel, Repeatable: true, Standby: f.Standby}}
	for i := range accountCount {
		t.Accounts = append(t.Accounts, ticket.Account{
			ID: accountID(i), Weight: 1, KeyHashes: []string{cluster.KeyHash(accountKey(i))}, MaxQueued: floodCallers,
		})
	}
	if _, err := fl.cluster.Submit(t); err != nil {
		return err
	}
	return fl.cluster.AwaitReady(readyTimeout)
}

func accountKey(account int) string { return "key-" + accountID(account) }

func (fl *fleet) target() load.Target {
	target := load.Target{Model: model, APIKeys: map[string]string{}}
	for i := range accountCount {
		target.APIKeys[accountID(i)] = accountKey(i)
	}
	for _, d := range fl.cluster.Daemons {
		target.Addresses = append(target.Addresses, d.Address)
	}
	return target
}

func (fl *fleet) close() {
	fl.cluster.Close()
	fl.network.Close()
}

// startEngines starts the engines, spread evenly over the data centres.
func startEngines(f flags, c *cluster.Cluster) ([]ticket.Server, error) {
	var servers []ticket.Server
	for i := range f.Servers {
		id := fmt.Sprintf("engine-%d", i+1)
		p, err := c.StartServer(id, "engine", "--model", model, "--slots", fmt.Sprint(slotsPerServer),
			"--token-interval", tokenInterval.String(), "--resume-window", "2s")
		if err != nil {
			return nil, err
		}
		servers = append(servers, ticket.Server{
			ID: id, Service: model, Address: p.Address, Zone: zones[i%len(zones)], Slots: slotsPerServer, State: ticket.ServerJoined,
		})
	}
	return servers, nil
}
