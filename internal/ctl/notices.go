package ctl

import (
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// noticesCommand lists what backend servers say of the requests that they take.
type noticesCommand struct{}

// serverNotice is a notice in the output.
type serverNotice struct {
	Server  string     `json:"server"`
	Service string     `json:"service"`
	Kind    string     `json:"kind"`
	Since   time.Time  `json:"since"`
	Until   *time.Time `json:"until,omitempty"`
	Limit   float64    `json:"limit,omitempty"` // requests per second from the whole fleet
}

// Run lists the notices that one daemon knows.
func (*noticesCommand) Run(s *session) error {
	var list *pb.NoticeList
	err := s.tryDaemons(func(address string) (err error) {
		list, err = exchange.ListNotices(s.ctx, address)
		return err
	})
	if err != nil {
		return err
	}
	notices := make([]serverNotice, 0, len(list.Notices))
	rows := make([][]string, 0, len(list.Notices))
	for _, n := range list.Notices {
		view := serverNotice{Server: n.Server, Service: n.Service, Kind: n.Kind, Since: time.UnixMilli(n.SinceUnixMs).UTC(), Limit: n.Limit}
		until, limit := "", ""
		if n.UntilUnixMs > 0 {
			end := time.UnixMilli(n.UntilUnixMs).UTC()
			view.Until, until = &end, end.Format(time.RFC3339)
		}
		if n.Limit > 0 {
			limit = strconv.FormatFloat(n.Limit, 'g', 4, 64)
		}
		notices = append(notices, view)
		rows = append(rows, []string{view.Server, view.Service, view.Kind, view.Since.Format(time.RFC3339), until, limit})
	}
	return s.print(notices, []string{"SERVER", "SERVICE", "KIND", "SINCE", "UNTIL", "LIMIT"}, rows)
}
