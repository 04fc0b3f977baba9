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
	}
	return list
}

// publishNotices updates the gauges of notices.
func (g *Gateway) publishNotices() {
	counts := map[string]int{noticeLeaving: 0, noticePause: 0, noticeLimit: 0}
	for _, n := range g.noticesMessage().Notices {
		counts[n.Kind]++
	}
	for kind, n := range counts {
		g.metrics.SetServerNotices(kind, n)
	}
}
