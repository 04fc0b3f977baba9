package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes and times of the runs.
const (
	shortAnswerTokens   = 8
	typicalAnswerTokens = 32
	largeBodyBytes      = 30 << 20
	settleTime          = 3 * time.Second
	streamOpenTime      = 5 * time.Second // period over which the memory run opens its streams
)

// measureLatency sends requests at a fixed rate, each to the daemon and directly to the engine.
func (tb *testbed) measureLatency(f flags) error {
	request := chatBody(fastModel, shortAnswerTokens, "a dossier")
	addresses := []string{tb.Daemons[0].Address, tb.fast.Address}
	latencies := []*samples{{}, {}}
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(f.Rate))
	defer tick.Stop()
	for range int(f.Length.Seconds()) * f.Rate {
		<-tick.C
		for i, address := range addresses {
			calls.Go(func() {
				started := time.Now()
				err := runChat(address, request, shortAnswerTokens)
				latencies[i].add(time.Since(started), err)
			})
		}
	}
	calls.Wait()
	for _, q := range []float64{0.5, 0.99} {
		viaDaemon, direct := latencies[0].quantile(q), latencies[1].quantile(q)
		name := fmt.Sprintf("p%d", int(q*100))
		fmt.Printf("path_latency_through_%s_ms=%.3f\n", name, milliseconds(viaDaemon))
		fmt.Printf("path_latency_straight_%s_ms=%.3f\n", name, milliseconds(direct))
		fmt.Printf("path_latency_added_%s_ms=%.3f\n", name, milliseconds(viaDaemon-direct))
	}
	fmt.Printf("path_latency_requests=%d\n", len(latencies[0].durations))
	return errors.CombineErrors(latencies[0].err, latencies[1].err)
}

// measureThroughput runs callers that each send requests one after the other.
func (tb *testbed) measureThroughput(f flags) error {
	request := chatBody(fastModel, typicalAnswerTokens, "a dossier")
	var requests atomic.Int64
	failed := &samples{}
	started, cpuBefore := time.Now(), tb.cpuTime()
	var callers sync.WaitGroup
	for range f.Callers {
		callers.Go(func() {
			for time.Since(started) < f.Length {
				if err := runChat(tb.Daemons[0].Address, request, typicalAnswerTokens); err != nil {
					failed.add(0, err)
					return
				}
				requests.Add(1)
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(started).Seconds()
	cpuSeconds := (tb.cpuTime() - cpuBefore).Seconds()
	n := float64(requests.Load())
	fmt.Printf("path_requests_per_second_one_core=%.0f\n", n/elapsed)
	fmt.Printf("path_tokens_per_second_one_core=%.0f\n", n*typicalAnswerTokens/elapsed)
	fmt.Printf("path_cpu_us_per_request=%.1f\n", cpuSeconds*1e6/n)
	fmt.Printf("path_cpu_cores=%.2f\n", cpuSeconds/elapsed)
	return failed.err
}

// measureLargeBody sends a request with a body of 30 MiB.
func (tb *testbed) measureLargeBody(flags) error {
	request := chatBody(fastModel, shortAnswerTokens, strings.Repeat("dossier ", largeBodyBytes/8))
	started := time.Now()
	err := runChat(tb.Daemons[0].Address, request, shortAnswerTokens)
	fmt.Printf("path_large_body_bytes=%d\npath_large_body_ms=%.0f\n", len(request), milliseconds(time.Since(started)))
	return err
}

// measureMemory measures the memory and CPU time of the daemon while slow streams are open.
func (tb *testbed) measureMemory(f flags) error {
	time.Sleep(settleTime)
	rssBefore := tb.rssKB()
	tokens := int(3*settleTime/slowInterval) + 10
	request := chatBody(slowModel, tokens, "a dossier")
	failed := &samples{}
	var streams sync.WaitGroup
	tick := time.NewTicker(streamOpenTime / time.Duration(f.Streams))
	defer tick.Stop()
	for range f.Streams {
		<-tick.C
		streams.Go(func() { failed.add(0, runChat(tb.Daemons[0].Address, request, tokens)) })
	}
	cpuTime := tb.cpuTime()
	time.Sleep(settleTime)
	rssDuring := tb.rssKB()
	cpuTime = tb.cpuTime() - cpuTime
	streams.Wait()
	fmt.Printf("path_rss_idle_mb=%.1f\n", float64(tb.idleRSSKB)/1024)
	fmt.Printf("path_rss_before_streams_mb=%.1f\n", float64(rssBefore)/1024)
	fmt.Printf("path_rss_with_streams_mb=%.1f\n", float64(rssDuring)/1024)
	fmt.Printf("path_rss_per_stream_kb=%.1f\n", float64(rssDuring-tb.idleRSSKB)/float64(f.Streams))
	fmt.Printf("path_streams=%d\n", f.Streams)
	relayedTokens := float64(f.Streams) * float64(settleTime/slowInterval)
	fmt.Printf("path_cpu_us_per_spaced_token=%.1f\n", cpuTime.Seconds()*1e6/relayedTokens)
	return failed.err
}

// measureLongStream reads one slow answer that takes about length.
func (tb *testbed) measureLongStream(length time.Duration) error {
	tokens := int(length / slowInterval)
	started := time.Now()
	err := runChat(tb.Daemons[0].Address, chatBody(slowModel, tokens, "a dossier"), tokens)
	fmt.Printf("path_long_stream_seconds=%.0f\n", time.Since(started).Seconds())
	return err
}
