package telemetry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Upper bounds of histogram buckets. The service objectives of 1.5 s to the first token and of
// 60 ms between tokens are bounds, so that the share of requests that meet them is exact.
var (
	waitBuckets = millisecondBuckets(1, 5, 10, 25, 50, 100, 250, 500, 1000, 1500, 2500, 5000, 10_000, 30_000,
		60_000, 300_000)
	firstTokenBuckets = millisecondBuckets(25, 50, 100, 250, 500, 750, 1000, 1500, 2000, 3000, 5000, 10_000,
		30_000, 60_000)
	tokenGapBuckets    = millisecondBuckets(5, 10, 20, 30, 40, 50, 60, 80, 100, 250, 500, 1000, 5000)
	resumePauseBuckets = millisecondBuckets(1, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000, 60_000)
	answerBuckets      = millisecondBuckets(100, 250, 500, 1000, 2500, 5000, 10_000, 20_000, 30_000, 60_000,
		120_000, 300_000, 600_000, 1_800_000)
	// Upper bounds in tokens.
	costBuckets = tally.ValueBuckets{16, 64, 256, 1024, 2048, 4096, 8192, 16_384, 32_768, 65_536,
		131_072, 262_144}
)

// series holds the metrics of one account or one service. Each is created on first use.
type series struct {
	labelValue   string
	wait         func() tally.Histogram
	firstToken   func() tally.Histogram
	tokenGap     func() tally.Histogram
	answer       func() tally.Histogram
	cost         func() tally.Histogram
	servedTokens func() tally.Counter
	resumePause  func() tally.Histogram
	retries      func() tally.Counter
	admission    func() admissionCounters
}

// admissionCounters count the tokens that an account asked for, by the check against its limit and by result.
type admissionCounters struct {
	scope    tally.Scope
	counters *sync.Map // admissionKey to tally.Counter
}

type admissionKey struct {
	check    string
	admitted bool
}

func (c admissionCounters) get(key admissionKey) tally.Counter {
	if counter, ok := c.counters.Load(key); ok {
		return counter.(tally.Counter)
	}
	result := "refused"
	if key.admitted {
		result = "admitted"
	}
	counter, _ := c.counters.LoadOrStore(key, c.scope.Tagged(map[string]string{"check": key.check, "result": result}).Counter("asked_tokens_total"))
	return counter.(tally.Counter)
}

// newSeries returns the series of a label value. The label name is also the infix of the metric
// names.
func newSeries(root tally.Scope, labelName, labelValue string) *series {
	scope := sync.OnceValue(func() tally.Scope {
		return root.SubScope(labelName).Tagged(map[string]string{labelName: labelValue})
	})
	histogram := func(name string, buckets tally.Buckets) func() tally.Histogram {
		return sync.OnceValue(func() tally.Histogram {
			return scope().Histogram(name, buckets)
		})
	}
	return &series{
		labelValue:  labelValue,
		wait:        histogram("wait_seconds", waitBuckets),
		firstToken:  histogram("first_token_seconds", firstTokenBuckets),
		tokenGap:    histogram("token_gap_seconds", tokenGapBuckets),
		answer:      histogram("answer_seconds", answerBuckets),
		cost:        histogram("cost_tokens", costBuckets),
		resumePause: histogram("resume_pause_seconds", resumePauseBuckets),
		retries: sync.OnceValue(func() tally.Counter {
			return scope().Counter("retries_total")
		}),
		servedTokens: sync.OnceValue(func() tally.Counter {
			return scope().Counter("served_tokens_total")
		}),
		admission: sync.OnceValue(func() admissionCounters { return admissionCounters{scope(), &sync.Map{}} }),
	}
}

// millisecondBuckets returns buckets with the given upper bounds in milliseconds.
func millisecondBuckets(bounds ...int) tally.DurationBuckets {
	buckets := make(tally.DurationBuckets, len(bounds))
	for i, bound := range bounds {
		buckets[i] = time.Duration(bound) * time.Millisecond
	}
	return buckets
}
