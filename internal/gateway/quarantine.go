package gateway

import (
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// encodeSuspect converts the evidence against a prompt part to its protobuf message.
func encodeSuspect(r quarantine.Report) *pb.Suspect {
	message := &pb.Suspect{
		Part:        r.Part,
		SoundAgeMs:  encodeAge(r.Sound, r.SoundAge),
		LiftedAgeMs: encodeAge(r.Lifted, r.LiftedAge),
		Trials:      uint32(r.Trials),
		TrialAgeMs:  ageMillis(r.TrialAge),
	}
	for _, e := range r.Ends {
		message.Ends = append(message.Ends, &pb.ServerEnd{
			Server: e.Server, AgeMs: ageMillis(e.Age), Begun: e.Begun, Disproved: e.Disproved,
		})
	}
	return message
}

// decodeSuspect converts a protobuf message to the evidence against a prompt part.
func decodeSuspect(message *pb.Suspect) quarantine.Report {
	r := quarantine.Report{Part: message.Part, Trials: int(message.Trials), TrialAge: time.Duration(message.TrialAgeMs) * time.Millisecond}
	r.Sound, r.SoundAge = decodeAge(message.SoundAgeMs)
	r.Lifted, r.LiftedAge = decodeAge(message.LiftedAgeMs)
	for _, e := range message.Ends {
		r.Ends = append(r.Ends, quarantine.ReportedEnd{
			Server: e.Server, Age: time.Duration(e.AgeMs) * time.Millisecond, Begun: e.Begun, Disproved: e.Disproved,
		})
	}
	return r
}

// encodeAge converts an age to milliseconds, at least 1. It returns 0 if there is none.
func encodeAge(known bool, age time.Duration) uint32 {
	if !known {
		return 0
	}
	return max(1, ageMillis(age))
}

// decodeAge converts an age from encodeAge.
func decodeAge(millis uint32) (known bool, age time.Duration) {
	return millis > 0, time.Duration(millis) * time.Millisecond
}

// publishQuarantine logs the prompt parts that became suspected, or are no longer,, and updates the gauges.
func (g *Gateway) publishQuarantine() {
	changes := g.scheduler.QuarantineChanges()
	for _, c := range changes {
		if c.Suspected {
			g.logger.Warn("Prompt part suspected of ending servers.", "part", formatPart(c.Part), "servers", len(c.Servers), "until", c.Until)
		} else {
			g.logger.Info("Prompt part no longer suspected.", "part", formatPart(c.Part), "since", c.Since)
		}
		g.metrics.SetQuarantined(formatPart(c.Part), c.Suspected)
	}
}

// triesPart reports whether this daemon makes the trials of a suspected prompt part, by rendezvous hashing (Thaler and
// Ravishankar 1998). Daemons that have lost each other may both do.
func (g *Gateway) triesPart(part uint64) bool {
	own := quarantine.TrialRank(part, g.settings.ID)
	for _, m := range g.exchange.Members() {
		if !m.Draining && quarantine.TrialRank(part, m.Id) > own {
			return false
		}
	}
	return true
}

// formatPart formats the hashed ID of a prompt part as in the log of requests.
func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// quarantineMessage returns the prompt parts that are held.
func (g *Gateway) quarantineMessage() *pb.QuarantineList {
	list := &pb.QuarantineList{}
	for _, s := range g.scheduler.Quarantined(time.Now()) {
		list.Parts = append(list.Parts, &pb.QuarantinedPart{
			Part: s.Part, SinceUnixMs: s.Since.UnixMilli(), UntilUnixMs: s.Until.UnixMilli(), Servers: s.Servers,
		})
	}
	return list
}

// liftQuarantine releases a prompt part in the whole fleet.
func (g *Gateway) liftQuarantine(part uint64) bool {
	lifted := g.scheduler.LiftQuarantine(part, time.Now())
	g.exchange.TriggerSend()
	return lifted
}
