package gateway

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/serverlimit"
)

// encodeLimits adds the report on the limits of servers to the message.
func encodeLimits(message *pb.View, r serverlimit.Report) {
	message.Daemons = uint32(r.Daemons)
	for service, perSecond := range r.Demands {
		message.Demands = append(message.Demands, &pb.ServiceDemand{Service: service, PerSecond: float32(perSecond)})
	}
	for _, l := range r.Limits {
		message.Limits = append(message.Limits, &pb.ServerLimit{Server: l.Server, Named: l.Named, Rate: l.Rate, AgeMs: ageMillis(l.Age)})
	}
}

// decodeLimits returns the report on the limits of servers in the message. zone is the zone that the message summarizes,
// empty for the message of one daemon.
func decodeLimits(message *pb.View, zone string) serverlimit.Report {
	r := serverlimit.Report{Zone: zone, Daemons: int(message.Daemons), Demands: make(map[uint64]float64, len(message.Demands))}
	for _, d := range message.Demands {
		r.Demands[d.Service] = float64(d.PerSecond)
	}
	for _, l := range message.Limits {
		r.Limits = append(r.Limits, serverlimit.ReportedLimit{
			Server: l.Server, Named: l.Named, Rate: l.Rate, Age: time.Duration(l.AgeMs) * time.Millisecond,
		})
	}
	return r
}
