package forward

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/admission"
)

// admissionRecord describes an admission decision in the log. Summed over the logs of all daemons,
// the costs of the admitted requests are the true usage that the believed one is compared with.
type admissionRecord struct {
	cost  float64
	input admission.Input
}

// LogValue implements slog.LogValuer.
func (a *admissionRecord) LogValue() slog.Value {
	in := &a.input
	return slog.StringValue(fmt.Sprintf("cost=%.0f demand=%.0f usage=%.0f quarters=%s unmet=%08b share=%.3f credit=%.0f check=%s guaranteed=%.0f attained=%.0f limit=%.0f delay=%v allowed=%v reportage=%v",
		a.cost, in.Usage.Demand, in.Usage.Admitted, formatQuarters(in.Usage), in.Usage.UnmetBuckets, in.DemandShare, in.Credit, in.CheckLimit(),
		in.Levels.Guaranteed, in.Levels.Attained, in.Levels.Limit,
		in.LoadDelay().Round(time.Microsecond), in.AllowedLoadDelay().Round(time.Microsecond), in.ReportAge))
}

// formatQuarters returns the tokens of each quarter of the window, the newest first.
func formatQuarters(u admission.Usage) string {
	var parts []string
	for _, tokens := range u.Quarters {
		parts = append(parts, strconv.FormatFloat(tokens, 'f', 0, 64))
	}
	return strings.Join(parts, ",")
}
