package gateway

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Kinds of notices, for operators.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeLimit   = "limit"
	// noticeCold is a server that is cold or was a short time ago, noticeEvacuated one in an evacuated zone. Both are known
	// from the store.
	noticeCold      = "cold"
	noticeEvacuated = "evacuated"
)

// noticesMessage returns what servers have said to this daemon of the requests that they take, and the limits that its peers
// know.
func (g *Gateway) noticesMessage() *pb.NoticeList {
	now := time.Now()
	list := &pb.NoticeList{}
	for _, n := range g.scheduler.Notices(now) {
		add := func(kind string, since, until time.Time, limit float64) {
			notice := &pb.Notice{Server: n.Server.ID, Service: n.Server.Service, Kind: kind, SinceUnixMs: since.UnixMilli(), Limit: limit}
			if !until.IsZero() {
				notice.UntilUnixMs = until.UnixMilli()
			}
			list.Notices = append(list.Notices, notice)
		}
		if !n.LeavingSince.IsZero() {
			add(noticeLeaving, n.LeavingSince, time.Time{}, 0)
		}
		if !n.PausedUntil.IsZero() {
			add(noticePause, n.PausedSince, n.PausedUntil, 0)
		}
		if n.HasLimit {
			add(noticeLimit, now.Add(-n.LimitAge), time.Time{}, n.Limit)
		}
		if n.Cold {
			add(noticeCold, now, n.WarmAt, n.ColdLimit)
		}
		if n.Server.Evacuated {
			add(noticeEvacuated, now, time.Time{}, 0)
		}
	}
	return list
}

// publishNotices updates the gauges of notices.
func (g *Gateway) publishNotices() {
	counts := map[string]int{noticeLeaving: 0, noticePause: 0, noticeLimit: 0, noticeCold: 0, noticeEvacuated: 0}
	for _, n := range g.noticesMessage().Notices {
		counts[n.Kind]++
	}
	for kind, n := range counts {
		g.metrics.SetServerNotices(kind, n)
	}
	g.metrics.SetEvacuatedRunning(g.scheduler.EvacuatedRunning())
}
