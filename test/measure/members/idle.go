package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

const readyTimeout = 60 * time.Second

// startFleet starts daemons in three data centres, submits a configuration and waits until
// all are ready.
func startFleet(f flags, daemons int, network *cluster.Network, logs io.Writer) (*cluster.Cluster, error) {
	c, err := cluster.New(cluster.Options{
		BinDir: f.Bin, LogOutput: logs, Zones: []string{"z1", "z2", "z3"}, Daemons: daemons, Network: network,
	})
	if err != nil {
		return nil, err
	}
	t := ticket.Ticket{Number: 1, Author: "measure", Reason: "fleet"}
	t.Accounts = []ticket.Account{{ID: "a", Weight: 1, KeyHashes: []string{cluster.KeyHash("key")}}}
	t.Services = []ticket.Service{{ID: "m", Kind: ticket.ServiceModel, Repeatable: true}}
	// The tool divides its timeout equally among the daemons that it is given.
	single := (&cluster.Cluster{Daemons: c.Daemons[:1]}).UseBinDirOf(c)
	if _, err := single.Submit(t); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.AwaitReady(readyTimeout)
}

// sample holds metrics of one daemon.
type sample struct {
	sameZone, remoteZone float64 // bytes sent and received, since the start
	cpu                  float64 // seconds, since the start
	resident             float64 // bytes
}

func scrape(address string) (sample, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return sample{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return sample{}, errors.Wrap(err, "parse metrics")
	}
	var s sample
	for _, name := range []string{"filbertrill_control_sent_bytes_total", "filbertrill_control_received_bytes_total"} {
		for _, metric := range families[name].GetMetric() {
			if labelValue(metric, "scope") == "zone" {
				s.sameZone += metric.GetCounter().GetValue()
			} else {
				s.remoteZone += metric.GetCounter().GetValue()
			}
		}
	}
	s.cpu = families["process_cpu_seconds_total"].GetMetric()[0].GetCounter().GetValue()
	s.resident = families["process_resident_memory_bytes"].GetMetric()[0].GetGauge().GetValue()
	return s, nil
}

func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

func scrapeAll(c *cluster.Cluster) ([]sample, error) {
	var all []sample
	for _, d := range c.Daemons {
		s, err := scrape(d.Address)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// measureIdle prints what fleets without requests consume, for each size.
func measureIdle(f flags, logs *os.File) error {
	for _, size := range f.Sizes {
		if err := measureIdleFleet(f, size, logs); err != nil {
			return errors.Wrapf(err, "%d daemons", size)
		}
	}
	return nil
}

func measureIdleFleet(f flags, size int, logs io.Writer) error {
	c, err := startFleet(f, size, nil, logs)
	if err != nil {
		return err
	}
	defer c.Close()
	time.Sleep(f.Settle)
	before, err := scrapeAll(c)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(f.Window)
	after, err := scrapeAll(c)
	if err != nil {
		return err
	}
	printIdleMetrics(size, before, after, time.Since(start).Seconds())
	return nil
}

// printIdleMetrics prints the mean and the maximum over the daemons of each metric.
func printIdleMetrics(size int, before, after []sample, seconds float64) {
	metrics := []struct {
		name    string
		compute func(a, b sample) float64
	}{
		{"control_bytes_per_s", func(a, b sample) float64 {
			return (b.sameZone + b.remoteZone - a.sameZone - a.remoteZone) / seconds
		}},
		{"remote_bytes_per_s", func(a, b sample) float64 { return (b.remoteZone - a.remoteZone) / seconds }},
		{"core_percent", func(a, b sample) float64 { return 100 * (b.cpu - a.cpu) / seconds }},
		{"resident_mb", func(_, b sample) float64 { return b.resident / (1 << 20) }},
	}
	for _, metric := range metrics {
		total, highest := 0.0, 0.0
		for i := range before {
			value := metric.compute(before[i], after[i])
			total += value
			highest = max(highest, value)
		}
		fmt.Printf("idle.%d.%s_mean=%.4g\n", size, metric.name, total/float64(len(before)))
		fmt.Printf("idle.%d.%s_most=%.4g\n", size, metric.name, highest)
	}
}
