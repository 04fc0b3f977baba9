package gateway

import (
	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// encodeView converts a view to its protobuf message.
func encodeView(v scheduler.View) *pb.View {
	message := &pb.View{}
	for hash, load := range v.Loads {
		message.Servers = append(message.Servers, &pb.ServerLoad{
			Server:        hash,
			Running:       uint32(load.Running),
			PendingTokens: uint32(load.PendingTokens),
			MemoryTokens:  uint32(load.MemoryTokens),
		})
	}
	for hash, usage := range v.Usage {
		message.Accounts = append(message.Accounts, encodeUsage(hash, usage))
	}
	for _, p := range v.Placements {
		message.Placements = append(message.Placements, &pb.Placement{Server: p.Server, Part: p.Part, Tokens: uint32(p.Tokens)})
	}
	for service, m := range v.TimingModels {
		message.Models = append(message.Models, &pb.EngineModel{
			Service:      service,
			Base:         float32(m.Base),
			PerToken:     float32(m.PerToken),
			PerRunning:   float32(m.PerRunning),
			Observations: float32(m.Observations),
		})
	}
	for _, r := range v.Quarantine {
		message.Suspects = append(message.Suspects, exchange.EncodeSuspect(r))
	}
	encodeLimits(message, v.Limits)
	return message
}

// decodeView converts a protobuf message to a view. zone is the zone that the message summarizes, empty for the view of
// one daemon.
func decodeView(message *pb.View, zone string) scheduler.View {
	v := scheduler.View{
		Loads: make(map[uint64]placement.Load, len(message.Servers)),
		Usage: make(map[uint64]admission.Usage, len(message.Accounts)),

		TimingModels: make(map[uint64]placement.TimingModel, len(message.Models)),
		Limits:       decodeLimits(message, zone),
	}
	for _, m := range message.Models {
		v.TimingModels[m.Service] = placement.TimingModel{
			Base:         float64(m.Base),
			PerToken:     float64(m.PerToken),
			PerRunning:   float64(m.PerRunning),
			Observations: float64(m.Observations),
		}
	}
	for _, load := range message.Servers {
		v.Loads[load.Server] = placement.Load{
			Running:       int(load.Running),
			PendingTokens: int(load.PendingTokens),
			MemoryTokens:  int(load.MemoryTokens),
		}
	}
	for _, usage := range message.Accounts {
		v.Usage[usage.Account] = decodeUsage(usage)
	}
	for _, m := range message.Suspects {
		v.Quarantine = append(v.Quarantine, exchange.DecodeSuspect(m))
	}
	for _, p := range message.Placements {
		v.Placements = append(v.Placements, placement.Placement{Server: p.Server, Part: p.Part, Tokens: int(p.Tokens)})
	}
	return v
}

// encodeUsage converts the usage of an account to its protobuf message.
func encodeUsage(account uint64, usage admission.Usage) *pb.AccountUse {
	message := &pb.AccountUse{
		Account:  account,
		Asked:    uint64(usage.Demand),
		Admitted: uint64(usage.Admitted),
		Unmet:    uint32(usage.UnmetBuckets),
	}
	for _, admitted := range usage.Quarters {
		message.Quarters = append(message.Quarters, uint64(admitted))
	}
	return message
}

// decodeUsage converts a protobuf message to the usage of an account.
func decodeUsage(message *pb.AccountUse) admission.Usage {
	usage := admission.Usage{
		Demand:       float64(message.Asked),
		Admitted:     float64(message.Admitted),
		UnmetBuckets: uint8(message.Unmet),
	}
	for i := range min(len(usage.Quarters), len(message.Quarters)) {
		usage.Quarters[i] = float64(message.Quarters[i])
	}
	return usage
}
