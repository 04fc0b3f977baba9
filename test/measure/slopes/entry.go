package main

import (
	"fmt"
	"time"

	"github.com/filbertrill/filbertrill/internal/entry"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// entrySeries measures the time to order the members for an answer of /v1/entries.
func entrySeries() []series {
	return []series{{"entries.order", "us", "member", []int{7, 50, 195, 390}, entriesOrderTime}}
}

func entriesOrderTime(members int) float64 {
	var live []*pb.Member
	for i := range members {
		live = append(live, &pb.Member{
			Id: fmt.Sprintf("d%03d", i), Zone: fmt.Sprintf("z%02d", i%18), Region: fmt.Sprintf("r%d", i%18/4), ClientAddress: "10.0.0.1:8080",
			State: pb.MemberState_MEMBER_STATE_LIVE,
		})
	}
	return microsecondsPerCall(func() { entry.Entries(entry.Caller{Account: "account-0001", Zone: "z01", Region: "r0"}, live) })
}

// telemetrySeries measures the heap of the histograms of client accounts.
func telemetrySeries() []series {
	return []series{{"telemetry.heap", "bytes", "account", []int{100, 300, 650}, telemetryHeap}}
}

func telemetryHeap(accounts int) float64 {
	return heapGrowth(func() any {
		m, handler, closer := telemetry.New(telemetry.Options{Interval: time.Hour})
		var ids []string
		for i := range accounts {
			ids = append(ids, fmt.Sprintf("account-%04d", i))
		}
		m.SetConfigured(ids, []string{"m"})
		for _, id := range ids {
			observeAll(m, id)
		}
		_ = closer.Close()
		return []any{m, handler}
	})
}

// observeAll records values that fall into every bucket of an account's histograms.
func observeAll(m *telemetry.Metrics, account string) {
	for d := time.Millisecond; d < 10*time.Minute; d += d / 2 {
		m.ObserveWait(account, "m", d)
		m.ObserveFirstToken(account, "m", d)
		m.ObserveTokenGap(account, "m", d)
		m.ObserveAnswer(account, "m", d)
		m.ObserveCost(account, "m", d.Milliseconds())
	}
}
