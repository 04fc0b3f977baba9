package gateway

import (
	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// encodeView returns the message for a view.
func encodeView(v scheduler.View) *pb.View {
	s := &pb.View{}
	for hash, l := range v.Loads {
		s.Servers = append(s.Servers, &pb.ServerLoad{
			Server:        hash,
			Running:       uint32(l.Running),
			PendingTokens: uint32(l.PendingTokens),
			MemoryTokens:  uint32(l.MemoryTokens),
		})
	}
	for hash, u := range v.Usage {
		s.Accounts = append(s.Accounts, &pb.AccountUse{
			Account: hash, Asked: uint64(u.Demand), Admitted: uint64(u.Admitted), Lately: uint64(u.RecentAdmitted),
		})
	}
	for _, p := range v.Placements {
		s.Placements = append(s.Placements, &pb.Placement{Server: p.Server, Part: p.Part, Tokens: uint32(p.Tokens)})
	}
	for service, m := range v.Models {
		s.Models = append(s.Models, &pb.EngineModel{
			Service:      service,
			Base:         float32(m.Base),
			PerToken:     float32(m.PerToken),
			PerRunning:   float32(m.PerRunning),
			Observations: float32(m.Observations),
		})
	}
	return s
}

// decodeView returns the view of a message.
func decodeView(s *pb.View) scheduler.View {
	v := scheduler.View{
		Loads: make(map[uint64]placement.Load, len(s.Servers)),
		Usage: make(map[uint64]admission.Usage, len(s.Accounts)),

		Models: make(map[uint64]placement.TimingModel, len(s.Models)),
	}
	for _, m := range s.Models {
		v.Models[m.Service] = placement.TimingModel{
			Base:         float64(m.Base),
			PerToken:     float64(m.PerToken),
			PerRunning:   float64(m.PerRunning),
			Observations: float64(m.Observations),
		}
	}
	for _, l := range s.Servers {
		v.Loads[l.Server] = placement.Load{
			Running:       int(l.Running),
			PendingTokens: int(l.PendingTokens),
			MemoryTokens:  int(l.MemoryTokens),
		}
	}
	for _, u := range s.Accounts {
		v.Usage[u.Account] = admission.Usage{Demand: float64(u.Asked), Admitted: float64(u.Admitted), RecentAdmitted: float64(u.Lately)}
	}
	for _, p := range s.Placements {
		v.Placements = append(v.Placements, placement.Placement{Server: p.Server, Part: p.Part, Tokens: int(p.Tokens)})
	}
	return v
}
