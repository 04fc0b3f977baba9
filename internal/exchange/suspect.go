package exchange

import (
	"math"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// EncodeSuspect converts the evidence against a subject to its protobuf message.
func EncodeSuspect(r quarantine.Report) *pb.Suspect {
	message := &pb.Suspect{
		Kind:        uint32(r.Kind),
		Id:          r.ID,
		SoundAgeMs:  encodeAge(r.Sound, r.SoundAge),
		LiftedAgeMs: encodeAge(r.Lifted, r.LiftedAge),
		Trials:      uint32(r.Trials),
		TrialAgeMs:  AgeMillis(r.TrialAge),
	}
	for _, e := range r.Ends {
		message.Ends = append(message.Ends, &pb.ServerEnd{
			Server: e.Server, AgeMs: AgeMillis(e.Age), Begun: e.Begun, Disproved: e.Disproved,
		})
	}
	return message
}

// DecodeSuspect converts a protobuf message to the evidence against a subject.
func DecodeSuspect(message *pb.Suspect) quarantine.Report {
	r := quarantine.Report{
		Subject: quarantine.Subject{Kind: quarantine.Kind(min(message.Kind, math.MaxUint8)), ID: message.Id},
		Trials:  int(message.Trials), TrialAge: time.Duration(message.TrialAgeMs) * time.Millisecond,
	}
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
	return max(1, AgeMillis(age))
}

// decodeAge converts an age from encodeAge.
func decodeAge(millis uint32) (known bool, age time.Duration) {
	return millis > 0, time.Duration(millis) * time.Millisecond
}

// MaxAge bounds ages in messages. It is longer than any state is kept. State of that age was never known.
const MaxAge = 48 * time.Hour

// AgeMillis converts an age to milliseconds, rounded up and limited to MaxAge.
func AgeMillis(age time.Duration) uint32 {
	return uint32((min(max(age, 0), MaxAge) + time.Millisecond - 1).Milliseconds())
}
