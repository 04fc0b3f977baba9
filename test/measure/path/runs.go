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
	shortAnswer = 8  // tokens
	usualAnswer = 32 // tokens
	largeBytes  = 30 << 20
	settleTime  = 3 * time.Second
	openTime    = 5 * time.Second // in which the streams of the memory run are opened
)

// latency sends requests through the daemon and straight to the engine in turns.
func (p *path) latency(f flags) error {
	text := body(fastModel, shortAnswer, "a dossier")
	addresses := []string{p.Daemons[0].Address, p.fast.Address}
	times := []*samples{{}, {}}
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(f.Rate))
	defer tick.Stop()
	for range int(f.Length.Seconds()) * f.Rate {
		<-tick.C
		for i, address := range addresses {
			calls.Go(func() {
				started := time.Now()
				err := call(address, text, shortAnswer)
				times[i].add(time.Since(started), err)
			})
		}
	}
	calls.Wait()
	for _, q := range []float64{0.5, 0.99} {
		through, straight := times[0].quantile(q), times[1].quantile(q)
		name := fmt.Sprintf("p%d", int(q*100))
		fmt.Printf("path_latency_through_%s_ms=%.3f\n", name, milliseconds(through))
		fmt.Printf("path_latency_straight_%s_ms=%.3f\n", name, milliseconds(straight))
		fmt.Printf("path_latency_added_%s_ms=%.3f\n", name, milliseconds(through-straight))
	}
	fmt.Printf("path_latency_requests=%d\n", len(times[0].list))
	return errors.CombineErrors(times[0].err, times[1].err)
}

// throughput lets callers ask one after the other without a pause.
func (p *path) throughput(f flags) error {
	text := body(fastModel, usualAnswer, "a dossier")
	var requests atomic.Int64
	failed := &samples{}
	started, cpu := time.Now(), p.cpu()
	var callers sync.WaitGroup
	for range f.Callers {
		callers.Go(func() {
			for time.Since(started) < f.Length {
				if err := call(p.Daemons[0].Address, text, usualAnswer); err != nil {
					failed.add(0, err)
					return
				}
				requests.Add(1)
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(started).Seconds()
	used := (p.cpu() - cpu).Seconds()
	n := float64(requests.Load())
	fmt.Printf("path_requests_per_second_one_core=%.0f\n", n/elapsed)
	fmt.Printf("path_tokens_per_second_one_core=%.0f\n", n*usualAnswer/elapsed)
	fmt.Printf("path_cpu_us_per_request=%.1f\n", used*1e6/n)
	fmt.Printf("path_cpu_cores=%.2f\n", used/elapsed)
	return failed.err
}

// largeBody sends a body of 30 MB.
func (p *path) largeBody(flags) error {
	text := body(fastModel, shortAnswer, strings.Repeat("dossier ", largeBytes/8))
	started := time.Now()
	err := call(p.Daemons[0].Address, text, shortAnswer)
	fmt.Printf("path_large_body_bytes=%d\npath_large_body_ms=%.0f\n", len(text), milliseconds(time.Since(started)))
	return err
}

// memory holds streams open, each with a token now and then.
func (p *path) memory(f flags) error {
	time.Sleep(settleTime)
	before := p.rssKB()
	tokens := int(3*settleTime/slowInterval) + 10
	text := body(slowModel, tokens, "a dossier")
	failed := &samples{}
	var streams sync.WaitGroup
	tick := time.NewTicker(openTime / time.Duration(f.Streams))
	defer tick.Stop()
	for range f.Streams {
		<-tick.C
		streams.Go(func() { failed.add(0, call(p.Daemons[0].Address, text, tokens)) })
	}
	cpu := p.cpu()
	time.Sleep(settleTime)
	during := p.rssKB()
	cpu = p.cpu() - cpu
	streams.Wait()
	fmt.Printf("path_rss_idle_mb=%.1f\n", float64(p.idleKB)/1024)
	fmt.Printf("path_rss_before_streams_mb=%.1f\n", float64(before)/1024)
	fmt.Printf("path_rss_with_streams_mb=%.1f\n", float64(during)/1024)
	fmt.Printf("path_rss_per_stream_kb=%.1f\n", float64(during-p.idleKB)/float64(f.Streams))
	fmt.Printf("path_streams=%d\n", f.Streams)
	relayed := float64(f.Streams) * float64(settleTime/slowInterval)
	fmt.Printf("path_cpu_us_per_spaced_token=%.1f\n", cpu.Seconds()*1e6/relayed)
	return failed.err
}

// longStream reads one answer for a long time.
func (p *path) longStream(length time.Duration) error {
	tokens := int(length / slowInterval)
	started := time.Now()
	err := call(p.Daemons[0].Address, body(slowModel, tokens, "a dossier"), tokens)
	fmt.Printf("path_long_stream_seconds=%.0f\n", time.Since(started).Seconds())
	return err
}
