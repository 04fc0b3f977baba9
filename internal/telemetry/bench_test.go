package telemetry

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	benchAccounts = 650
	benchServices = 24
)

// ids returns n ids with the prefix, numbered from 0.
func ids(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = prefix + strconv.Itoa(i)
	}
	return out
}

func BenchmarkObserveTokenGap(b *testing.B) {
	m, _, closer := New(Options{Interval: time.Hour})
	defer closer.Close()
	accounts, services := ids("account-", benchAccounts), ids("model-", benchServices)
	m.SetConfigured(accounts, services)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			m.ObserveTokenGap(accounts[i%benchAccounts], services[i%benchServices], 30*time.Millisecond)
		}
	})
}

// BenchmarkHeap reports the live heap of the metrics after an event of every account and
// service, and the time of the final report.
func BenchmarkHeap(b *testing.B) {
	for b.Loop() {
		before := liveHeap()
		m, _, closer := New(Options{Interval: time.Hour})
		accounts, services := ids("account-", benchAccounts), ids("model-", benchServices)
		m.SetConfigured(accounts, services)
		for i, account := range accounts {
			service := services[i%benchServices]
			m.ObserveWait(account, service, time.Second)
			m.ObserveFirstToken(account, service, time.Second)
			m.ObserveTokenGap(account, service, time.Second)
			m.ObserveAnswer(account, service, time.Second)
			m.ObserveCost(account, service, 100)
		}
		b.ReportMetric(float64(liveHeap()-before)/(1<<20), "MB/daemon")
		started := time.Now()
		require.NoError(b, closer.Close())
		b.ReportMetric(float64(time.Since(started).Microseconds()), "us/report")
	}
}

// liveHeap returns the heap in bytes after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
