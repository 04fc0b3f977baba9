package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of the runs.
const (
	shortAnswerTokens   = 8  // tokens
	typicalAnswerTokens = 32 // tokens
	largeBodyBytes      = 30 << 20
	settleTime          = 3 * time.Second
	streamOpenTime      = 5 * time.Second // in which the streams of the memory run are opened
)

// latency sends requests through the daemon and straight to the engine in turns.
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

// throughput lets callers ask one after the other without a pause.
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

// largeBody sends a body of 30 MB.
func (tb *testbed) measureLargeBody(flags) error {
	request := chatBody(fastModel, shortAnswerTokens, strings.Repeat("dossier ", largeBodyBytes/8))
	started := time.Now()
	err := runChat(tb.Daemons[0].Address, request, shortAnswerTokens)
	fmt.Printf("path_large_body_bytes=%d\npath_large_body_ms=%.0f\n", len(request), milliseconds(time.Since(started)))
	return err
}

// memory holds streams open, each with a token now and then.
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

// longStream reads one answer for a long time.
func (tb *testbed) measureLongStream(length time.Duration) error {
	tokens := int(length / slowInterval)
	started := time.Now()
	err := runChat(tb.Daemons[0].Address, chatBody(slowModel, tokens, "a dossier"), tokens)
	fmt.Printf("path_long_stream_seconds=%.0f\n", time.Since(started).Seconds())
	return err
}
