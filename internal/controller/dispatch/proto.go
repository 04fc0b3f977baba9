package dispatch

import (
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

func reportToProto(key poolKey, r core.Report) *pb.DemandReport {
	m := &pb.DemandReport{
		Seq:                   r.Seq,
		Service:               key.service,
		Pool:                  key.pool,
		FromPool:              r.FromPool,
		DispatcherIncarnation: r.DispatcherIncarnation,
		LastGrantId:           r.LastGrantSeq,
		DaemonIncarnation:     r.Incarnation,
		Partial:               r.Partial,
		Released:              r.ReleasedSeqs,
	}
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, demandToProto(d))
	}
	for _, e := range r.EndedCosts {
		m.Ended = append(m.Ended, &pb.EndedCost{Account: e.Account, Pool: e.Pool, Cost: e.Cost})
	}
	for _, s := range r.Results {
		m.Results = append(m.Results, &pb.ServerResults{Server: s.Server, Failed: s.Failed, Succeeded: s.Succeeded})
	}
	for _, run := range r.Runs {
		m.Runs = append(m.Runs, runToProto(run))
	}
	return m
}

func demandToProto(d core.Demand) *pb.Demand {
	return &pb.Demand{
		Account:      d.Account,
		Waiting:      uint32(d.Waiting),
		OldestWaitMs: d.OldestWait.Milliseconds(),
		Estimate:     d.Estimate,
		Prefer:       d.PreferredServers,
		VirtualTime:  d.VirtualTime,
		Served:       d.Served,
		Charged:      d.Charged,
		Running:      uint32(d.Running),
	}
}

func runToProto(r core.Run) *pb.Run {
	return &pb.Run{
		GrantId:               r.ID.Seq,
		DispatcherIncarnation: r.ID.DispatcherIncarnation,
		Origin:                originToProto(r.Origin),
		Account:               r.Account,
		Server:                r.Server,
		Cost:                  r.Cost,
		Estimate:              r.Estimate,
	}
}

func originToProto(o core.Origin) *pb.Origin {
	if o.Pool == "" {
		return nil
	}
	return &pb.Origin{Pool: o.Pool, DispatcherIncarnation: o.ID.DispatcherIncarnation, GrantId: o.ID.Seq}
}

func reportFromProto(m *pb.DemandReport) core.Report {
	r := core.Report{
		Incarnation:           m.DaemonIncarnation,
		Seq:                   m.Seq,
		FromPool:              m.FromPool,
		DispatcherIncarnation: m.DispatcherIncarnation,
		LastGrantSeq:          m.LastGrantId,
		Partial:               m.Partial,
		ReleasedSeqs:          m.Released,
	}
	for _, d := range m.Demands {
		r.Demands = append(r.Demands, demandFromProto(d))
	}
	for _, e := range m.Ended {
		r.EndedCosts = append(r.EndedCosts, core.EndedCost{Account: e.Account, Pool: e.Pool, Cost: e.Cost})
	}
	for _, s := range m.Results {
		r.Results = append(r.Results, core.ServerResults{Server: s.Server, Failed: s.Failed, Succeeded: s.Succeeded})
	}
	for _, run := range m.Runs {
		r.Runs = append(r.Runs, runFromProto(run))
	}
	return r
}

func demandFromProto(d *pb.Demand) core.Demand {
	return core.Demand{
		Account:          d.Account,
		Waiting:          int(d.Waiting),
		OldestWait:       time.Duration(d.OldestWaitMs) * time.Millisecond,
		Estimate:         d.Estimate,
		PreferredServers: d.Prefer,
		VirtualTime:      d.VirtualTime,
		Served:           d.Served,
		Charged:          d.Charged,
		Running:          int(d.Running),
	}
}

func runFromProto(r *pb.Run) core.Run {
	return core.Run{
		ID:       core.GrantID{DispatcherIncarnation: r.DispatcherIncarnation, Seq: r.GrantId},
		Origin:   originFromProto(r.Origin),
		Account:  r.Account,
		Server:   r.Server,
		Cost:     r.Cost,
		Estimate: r.Estimate,
	}
}

func originFromProto(o *pb.Origin) core.Origin {
	if o == nil {
		return core.Origin{}
	}
	return core.Origin{Pool: o.Pool, ID: core.GrantID{DispatcherIncarnation: o.DispatcherIncarnation, Seq: o.GrantId}}
}

func batchToProto(key poolKey, toPool string, b core.GrantBatch) *pb.GrantBatch {
	m := &pb.GrantBatch{
		Service:               key.service,
		Pool:                  key.pool,
		ToPool:                toPool,
		DispatcherIncarnation: b.DispatcherIncarnation,
		ReportSeq:             b.ReportSeq,
	}
	for _, g := range b.Grants {
		m.Grants = append(m.Grants, &pb.Grant{
			Id:          g.ID.Seq,
			Origin:      originToProto(g.Origin),
			Account:     g.Account,
			Server:      g.Server,
			VirtualTime: g.VirtualTime,
		})
	}
	return m
}

func batchFromProto(m *pb.GrantBatch) core.GrantBatch {
	b := core.GrantBatch{DispatcherIncarnation: m.DispatcherIncarnation, ReportSeq: m.ReportSeq}
	for _, g := range m.Grants {
		b.Grants = append(b.Grants, core.Grant{
			ID:          core.GrantID{DispatcherIncarnation: m.DispatcherIncarnation, Seq: g.Id},
			Origin:      originFromProto(g.Origin),
			Account:     g.Account,
			Server:      g.Server,
			VirtualTime: g.VirtualTime,
		})
	}
	return b
}
