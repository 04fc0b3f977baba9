// Command effects measures the cost of a claim and the share of unrepeatable requests that run
// while the log service fails. It prints name=value lines.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/controller/claims"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/logstore"
)

const (
	daemonCount     = 7
	claimingDaemons = 4 // daemons that claim for a whole fleet, each on its own topic
	logDelay        = 5 * time.Millisecond
	callTimeout     = 2 * time.Second
	claimTimeout    = 2 * time.Second
	loadDuration    = 8 * time.Second
	answerBytes     = 64
)

// claimFleet holds the claim controllers of several daemons that use one log service.
type claimFleet struct {
	store       *logstore.Server
	controllers []*claims.Controller
	stop        func()
}

func newClaimFleet(daemons int, topicOf func(int) string, fault faults.Fault, openLog func(url string) logservice.Log) *claimFleet {
	store := logstore.New(logstore.Options{})
	store.SetFault(fault)
	server := httptest.NewServer(store)
	ctx, cancel := context.WithCancel(context.Background())
	f := &claimFleet{store: store}
	var wg sync.WaitGroup
	for i := range daemons {
		c := claims.NewController(claims.Options{
			Log:         openLog(server.URL),
			Topic:       topicOf(i),
			Table:       claim.Options{Daemon: fmt.Sprint("d", i), Incarnation: 1},
			CallTimeout: callTimeout,
			Logger:      slog.New(slog.DiscardHandler),
		})
		f.controllers = append(f.controllers, c)
		wg.Go(func() { c.Run(ctx) })
	}
	f.stop = func() { cancel(); wg.Wait(); server.Close() }
	return f
}

func newHTTPLog(url string) logservice.Log {
	log, err := logservice.NewHTTPLog(url, callTimeout)
	if err != nil {
		panic(err)
	}
	return log
}

func newMemoryLog(string) logservice.Log { return &claims.MemoryLog{} }

// loadResult counts the requests of a load by their results.
type loadResult struct {
	requests  int
	runDelays []time.Duration // time until the claim allowed a run, ascending
	notRun    int
}

// runLoad sends rate requests with new keys per second, in turn to each controller, for
// loadDuration.
func (f *claimFleet) runLoad(rate int) loadResult {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var r loadResult
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(loadDuration); time.Now().Before(end); r.requests++ {
		<-ticker.C
		controller := f.controllers[r.requests%len(f.controllers)]
		wg.Go(func() {
			took, ran := claimOne(controller)
			mu.Lock()
			defer mu.Unlock()
			if ran {
				r.runDelays = append(r.runDelays, took)
			} else {
				r.notRun++
			}
		})
	}
	wg.Wait()
	slices.Sort(r.runDelays)
	return r
}

// claimOne claims a new key and, if the claim allows the run, ends it with an outcome. It returns
// the time until the claim was decided and whether it allowed the run.
func claimOne(controller *claims.Controller) (time.Duration, bool) {
	sentAt := time.Now()
	req := claim.Request{
		Attempt:       claim.AttemptID(uuid.New()),
		Key:           claim.Hash(uuid.New()),
		KeyCreatedAt:  sentAt,
		ClaimDeadline: sentAt.Add(claimTimeout),
		WaitDeadline:  sentAt.Add(claimTimeout),
	}
	verdict, err := controller.Claim(context.Background(), req)
	took := time.Since(sentAt)
	if err != nil || verdict.Kind != claim.Run {
		return took, false
	}
	controller.End(req.Attempt, &claim.Outcome{
		Status: 201,
		Header: []claim.HeaderField{{Name: "Content-Type", Value: "application/json"}},
		Body:   make([]byte, answerBytes),
	})
	return took, true
}

func (r loadResult) percentile(p int) time.Duration {
	if len(r.runDelays) == 0 {
		return 0
	}
	return r.runDelays[min(len(r.runDelays)-1, len(r.runDelays)*p/100)]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func sharedTopic(int) string { return claims.DefaultTopic }

func topicPerDaemon(i int) string { return fmt.Sprint(claims.DefaultTopic, "-", i) }

func measureCost(name string, daemons int, topicOf func(int) string, rate int) {
	f := newClaimFleet(daemons, topicOf, faults.Fault{Mode: faults.Slow, DelayMS: logDelay.Milliseconds()}, newHTTPLog)
	r := f.runLoad(rate)
	var total logstore.Counters
	for _, t := range f.store.Topics() {
		total.Appends += t.Appends
		total.Reads += t.Reads
		total.BytesIn += t.BytesIn
		total.BytesOut += t.BytesOut
	}
	f.stop()
	name = fmt.Sprintf("%s_%d", name, rate)
	seconds := loadDuration.Seconds()
	fmt.Printf("%s_ran_share=%.4f\n", name, float64(len(r.runDelays))/float64(r.requests))
	fmt.Printf("%s_p50_ms=%.1f\n", name, milliseconds(r.percentile(50)))
	fmt.Printf("%s_p99_ms=%.1f\n", name, milliseconds(r.percentile(99)))
	fmt.Printf("%s_appends_per_s=%.1f\n", name, float64(total.Appends)/seconds)
	fmt.Printf("%s_reads_per_s=%.1f\n", name, float64(total.Reads)/seconds)
	fmt.Printf("%s_bytes_per_request=%.0f\n", name, float64(total.BytesIn)/float64(r.requests))
	fmt.Printf("%s_read_bytes_per_daemon_s=%.0f\n", name, float64(total.BytesOut)/seconds/float64(daemons))
}

func measureAvailability(name string, fault faults.Fault, openLog func(string) logservice.Log) {
	const rate = 50
	f := newClaimFleet(daemonCount, sharedTopic, fault, openLog)
	r := f.runLoad(rate)
	f.stop()
	fmt.Printf("availability_%s_share=%.4f\n", name, float64(len(r.runDelays))/float64(r.requests))
	fmt.Printf("availability_%s_p99_ms=%.1f\n", name, milliseconds(r.percentile(99)))
}

// measureMemory prints the heap per stored key and the time to apply the claim and outcome of a
// key.
func measureMemory() {
	const keys = 100_000
	now := time.Now()
	table := claim.NewTable(claim.Options{Daemon: "d1"})
	table.Step(now, claim.Tick{})
	table.Step(now, claim.StartFound{})
	before := liveHeap()
	var batches []claim.Batch
	for range keys {
		key, attempt := claim.Hash(uuid.New()), claim.AttemptID(uuid.New())
		outcome := &claim.Outcome{Status: 201, Header: []claim.HeaderField{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, answerBytes)}
		batches = append(batches, claim.Batch{Daemon: "d2", CreatedAt: now, Records: []claim.Record{
			{Kind: claim.KindClaim, Key: key, Attempt: attempt},
			{Kind: claim.KindOutcome, Key: key, Attempt: attempt, Outcome: outcome},
		}})
	}
	began := time.Now()
	table.Step(now, claim.ReadCompleted{Batches: batches, AtEnd: true})
	took := time.Since(began)
	batches = nil
	fmt.Printf("heap_bytes_per_key=%d\n", (liveHeap()-before)/keys)
	fmt.Printf("apply_us_per_request=%.2f\n", float64(took.Microseconds())/keys)
	runtime.KeepAlive(table)
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func main() {
	logging.Setup(logging.Options{Level: slog.LevelError})
	fmt.Fprintln(os.Stderr, "daemons:", daemonCount, "log delay:", logDelay, "seconds per load:", loadDuration.Seconds())
	for _, rate := range []int{10, 100, 500} {
		measureCost("claims", daemonCount, sharedTopic, rate)
		measureCost("owners", claimingDaemons, topicPerDaemon, rate)
	}
	measureAvailability("up", faults.Fault{Mode: faults.Slow, DelayMS: logDelay.Milliseconds()}, newHTTPLog)
	measureAvailability("slow_500ms", faults.Fault{Mode: faults.Slow, DelayMS: 500}, newHTTPLog)
	measureAvailability("lost_20pct", faults.Fault{Mode: faults.LoseAnswer, Every: 5, RequestKind: "append"}, newHTTPLog)
	measureAvailability("down", faults.Fault{Mode: faults.Down}, newHTTPLog)
	measureAvailability("down_issued_keys", faults.Fault{Mode: faults.Down}, newMemoryLog)
	measureMemory()
}
