// Command effects measures what a claim costs and how many unrepeatable requests go through
// while the log fails. It prints name=value lines.
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
	daemons     = 7
	owners      = 4 // that claim for a whole fleet, each on a topic of its own
	logDelay    = 5 * time.Millisecond
	callTimeout = 2 * time.Second
	claimBy     = 2 * time.Second
	duration    = 8 * time.Second
	answerBytes = 64
)

// fleet is controllers over one log.
type fleet struct {
	store *logstore.Server
	nodes []*claims.Controller
	stop  func()
}

func newFleet(size int, topicOf func(int) string, fault faults.Fault, log func(url string) logservice.Log) *fleet {
	store := logstore.New(logstore.Options{})
	store.SetFault(fault)
	server := httptest.NewServer(store)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{store: store}
	var wg sync.WaitGroup
	for i := range size {
		c := claims.NewController(claims.Options{
			Log:         log(server.URL),
			Topic:       topicOf(i),
			Table:       claim.Options{Daemon: fmt.Sprint("d", i), Incarnation: 1},
			CallTimeout: callTimeout,
			Logger:      slog.New(slog.DiscardHandler),
		})
		f.nodes = append(f.nodes, c)
		wg.Go(func() { c.Run(ctx) })
	}
	f.stop = func() { cancel(); wg.Wait(); server.Close() }
	return f
}

func platformLog(url string) logservice.Log {
	log, err := logservice.NewHTTPLog(url, callTimeout)
	if err != nil {
		panic(err)
	}
	return log
}

func memoryLog(string) logservice.Log { return &claims.MemoryLog{} }

// result is what a load led to.
type result struct {
	asks  int
	ran   []time.Duration // until each ask was told to run
	other int
}

// load sends asks of new keys at a rate a second, spread over the daemons.
func (f *fleet) load(rate int) result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var r result
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); r.asks++ {
		<-ticker.C
		node := f.nodes[r.asks%len(f.nodes)]
		wg.Go(func() {
			took, ran := stamp(node)
			mu.Lock()
			defer mu.Unlock()
			if ran {
				r.ran = append(r.ran, took)
			} else {
				r.other++
			}
		})
	}
	wg.Wait()
	slices.Sort(r.ran)
	return r
}

func stamp(node *claims.Controller) (time.Duration, bool) {
	now := time.Now()
	ask := claim.Request{
		Attempt:       claim.AttemptID(uuid.New()),
		Key:           claim.Hash(uuid.New()),
		KeyCreatedAt:  now,
		ClaimDeadline: now.Add(claimBy),
		WaitDeadline:  now.Add(claimBy),
	}
	v, err := node.Claim(context.Background(), ask)
	took := time.Since(now)
	if err != nil || v.Kind != claim.Run {
		return took, false
	}
	node.End(ask.Attempt, &claim.Outcome{
		Status: 201,
		Header: []claim.HeaderField{{Name: "Content-Type", Value: "application/json"}},
		Body:   make([]byte, answerBytes),
	})
	return took, true
}

func (r result) percentile(p int) time.Duration {
	if len(r.ran) == 0 {
		return 0
	}
	return r.ran[min(len(r.ran)-1, len(r.ran)*p/100)]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func oneTopic(int) string { return claims.DefaultTopic }

func ownTopic(i int) string { return fmt.Sprint(claims.DefaultTopic, "-", i) }

func measureCost(name string, size int, topicOf func(int) string, rate int) {
	f := newFleet(size, topicOf, faults.Fault{Mode: faults.Slow, DelayMS: logDelay.Milliseconds()}, platformLog)
	r := f.load(rate)
	var topic logstore.Counters
	for _, t := range f.store.Topics() {
		topic.Appends += t.Appends
		topic.Reads += t.Reads
		topic.BytesIn += t.BytesIn
		topic.BytesOut += t.BytesOut
	}
	f.stop()
	name = fmt.Sprintf("%s_%d", name, rate)
	seconds := duration.Seconds()
	fmt.Printf("%s_ran_share=%.4f\n", name, float64(len(r.ran))/float64(r.asks))
	fmt.Printf("%s_p50_ms=%.1f\n", name, milliseconds(r.percentile(50)))
	fmt.Printf("%s_p99_ms=%.1f\n", name, milliseconds(r.percentile(99)))
	fmt.Printf("%s_appends_per_s=%.1f\n", name, float64(topic.Appends)/seconds)
	fmt.Printf("%s_reads_per_s=%.1f\n", name, float64(topic.Reads)/seconds)
	fmt.Printf("%s_bytes_per_request=%.0f\n", name, float64(topic.BytesIn)/float64(r.asks))
	fmt.Printf("%s_read_bytes_per_daemon_s=%.0f\n", name, float64(topic.BytesOut)/seconds/float64(size))
}

func measureAvailability(name string, fault faults.Fault, log func(string) logservice.Log) {
	const rate = 50
	f := newFleet(daemons, oneTopic, fault, log)
	r := f.load(rate)
	f.stop()
	fmt.Printf("availability_%s_share=%.4f\n", name, float64(len(r.ran))/float64(r.asks))
	fmt.Printf("availability_%s_p99_ms=%.1f\n", name, milliseconds(r.percentile(99)))
}

// measureMemory prints the heap that a remembered key takes.
func measureMemory() {
	const keys = 100_000
	now := time.Now()
	book := claim.NewTable(claim.Options{Daemon: "d1"})
	book.Step(now, claim.Tick{})
	book.Step(now, claim.StartFound{})
	before := heap()
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
	book.Step(now, claim.ReadCompleted{Batches: batches, AtEnd: true})
	took := time.Since(began)
	batches = nil
	fmt.Printf("heap_bytes_per_key=%d\n", (heap()-before)/keys)
	fmt.Printf("apply_us_per_request=%.2f\n", float64(took.Microseconds())/keys)
	runtime.KeepAlive(book)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func main() {
	logging.Setup(logging.Options{Level: slog.LevelError})
	fmt.Fprintln(os.Stderr, "daemons:", daemons, "log delay:", logDelay, "seconds a load:", duration.Seconds())
	for _, rate := range []int{10, 100, 500} {
		measureCost("claims", daemons, oneTopic, rate)
		measureCost("owners", owners, ownTopic, rate)
	}
	measureAvailability("up", faults.Fault{Mode: faults.Slow, DelayMS: logDelay.Milliseconds()}, platformLog)
	measureAvailability("slow_500ms", faults.Fault{Mode: faults.Slow, DelayMS: 500}, platformLog)
	measureAvailability("lost_20pct", faults.Fault{Mode: faults.LoseAnswer, Every: 5, RequestKind: "append"}, platformLog)
	measureAvailability("down", faults.Fault{Mode: faults.Down}, platformLog)
	measureAvailability("down_issued_keys", faults.Fault{Mode: faults.Down}, memoryLog)
	measureMemory()
}
