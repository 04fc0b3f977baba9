package dispatch

import (
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

func reportToProto(service string, r core.Report) *pb.DemandReport {
	m := &pb.DemandReport{
		Seq:                   r.Seq,
		Service:               service,
		DispatcherIncarnation: r.DispatcherIncarnation,
		LastGrantId:           r.LastGrantID,
		DaemonIncarnation:     r.DaemonIncarnation,
	}
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, &pb.Demand{
			Account:      d.Account,
			Waiting:      uint32(d.Waiting),
			OldestWaitMs: d.OldestWait.Milliseconds(),
			Estimate:     d.Estimate,
			EndedCost:    d.Ended,
			VirtualTime:  d.VirtualTime,
		})
	}
	for _, run := range r.Runs {
		m.Runs = append(m.Runs, &pb.Run{
			GrantId:  run.GrantID,
			Account:  run.Account,
			Server:   run.Server,
			Cost:     run.Cost,
			Estimate: run.Estimate,
		})
	}
	return m
}

func reportFromProto(m *pb.DemandReport) core.Report {
	r := core.Report{
		DaemonIncarnation:     m.DaemonIncarnation,
		Seq:                   m.Seq,
		DispatcherIncarnation: m.DispatcherIncarnation,
		LastGrantID:           m.LastGrantId,
	}
	for _, d := range m.Demands {
		r.Demands = append(r.Demands, core.Demand{
			Account:     d.Account,
			Waiting:     int(d.Waiting),
			OldestWait:  time.Duration(d.OldestWaitMs) * time.Millisecond,
			Estimate:    d.Estimate,
			Ended:       d.EndedCost,
			VirtualTime: d.VirtualTime,
		})
	}
	for _, run := range m.Runs {
		r.Runs = append(r.Runs, core.Run{
			GrantID:  run.GrantId,
			Account:  run.Account,
			Server:   run.Server,
			Cost:     run.Cost,
			Estimate: run.Estimate,
		})
	}
	return r
}

func grantsToProto(service string, incarnation uint64, grants []core.Grant) *pb.GrantBatch {
	m := &pb.GrantBatch{Service: service, DispatcherIncarnation: incarnation}
	for _, g := range grants {
		m.Grants = append(m.Grants, &pb.Grant{
			Id:          g.ID,
			Account:     g.Account,
			Server:      g.Server,
			Charged:     g.Charged,
			VirtualTime: g.VirtualTime,
			LeaseMs:     g.Lease.Milliseconds(),
		})
	}
	return m
}

func grantsFromProto(m *pb.GrantBatch) []core.Grant {
	grants := make([]core.Grant, 0, len(m.Grants))
	for _, g := range m.Grants {
		grants = append(grants, core.Grant{
			ID:          g.Id,
			Account:     g.Account,
			Server:      g.Server,
			Charged:     g.Charged,
			VirtualTime: g.VirtualTime,
			Lease:       time.Duration(g.LeaseMs) * time.Millisecond,
		})
	}
	return grants
}
