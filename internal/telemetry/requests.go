package telemetry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertrill/filbertrill/internal/result"
)

// ObserveWait records the time from the arrival of a request to its dispatch.
func (m *Metrics) ObserveWait(account, service string, d time.Duration) {
	m.accounts.seriesFor(account).wait().RecordDuration(d)
	m.services.seriesFor(service).wait().RecordDuration(d)
}

// ObserveFirstToken records the time from the arrival of a request to the first part of its
// answer.
func (m *Metrics) ObserveFirstToken(account, service string, d time.Duration) {
	m.accounts.seriesFor(account).firstToken().RecordDuration(d)
	m.services.seriesFor(service).firstToken().RecordDuration(d)
}

// ObserveTokenGap records the time between two consecutive parts of an answer.
func (m *Metrics) ObserveTokenGap(account, service string, d time.Duration) {
	m.accounts.seriesFor(account).tokenGap().RecordDuration(d)
	m.services.seriesFor(service).tokenGap().RecordDuration(d)
}

// ObserveAnswer records the time from the arrival of a request to the end of its answer.
func (m *Metrics) ObserveAnswer(account, service string, d time.Duration) {
	m.accounts.seriesFor(account).answer().RecordDuration(d)
	m.services.seriesFor(service).answer().RecordDuration(d)
}

// ObserveCost records the tokens charged for an ended request.
func (m *Metrics) ObserveCost(account, service string, tokens int64) {
	for _, s := range []*series{m.accounts.seriesFor(account), m.services.seriesFor(service)} {
		s.cost().RecordValue(float64(tokens))
		addTokens(s.servedTokens(), float64(tokens))
	}
}

// CountAdmission counts the tokens that a request to an engine asks for, by the check against the limit of its account.
func (m *Metrics) CountAdmission(account, check string, admitted bool, tokens float64) {
	addTokens(m.accounts.seriesFor(account).admission().get(admissionKey{check, admitted}), tokens)
}

// maxCountedTokens bounds the tokens of one request, so that no sum overflows.
const maxCountedTokens = 1 << 40

// addTokens adds the tokens of one request to a counter. The numbers come from callers and servers, and a counter that decreases
// ends the process: the Prometheus client panics in a goroutine of its reporter.
func addTokens(counter tally.Counter, tokens float64) {
	if tokens > 0 {
		counter.Inc(int64(min(tokens, maxCountedTokens)))
	}
}

// ObserveResumePause records the time from the interruption of an answer's stream to the next
// new event.
func (m *Metrics) ObserveResumePause(service string, d time.Duration) {
	m.services.seriesFor(service).resumePause().RecordDuration(d)
}

// CountRetry counts a retry of a request on another backend server.
func (m *Metrics) CountRetry(service string) { m.services.seriesFor(service).retries().Inc(1) }

// CountResult counts an ended request by its result code and service.
func (m *Metrics) CountResult(code result.Code, service string) {
	m.results.get(code, m.services.seriesFor(service).labelValue).Inc(1)
}

type resultKey struct {
	code    result.Code
	service string
}

// resultCounters holds a counter for each pair of result code and service that has occurred.
type resultCounters struct {
	scope    tally.Scope
	counters sync.Map // resultKey to tally.Counter
}

// get returns the counter of a code and a service label. Unknown codes count as result.Internal.
func (r *resultCounters) get(code result.Code, service string) tally.Counter {
	if !code.Known() {
		code = result.Internal
	}
	key := resultKey{code: code, service: service}
	if found, ok := r.counters.Load(key); ok {
		return found.(tally.Counter)
	}
	counter := r.scope.Tagged(map[string]string{
		"code":    strconv.Itoa(int(code)),
		"name":    code.Name(),
		"outcome": string(code.Class()),
		"service": service,
	}).Counter("results_total")
	found, _ := r.counters.LoadOrStore(key, counter)
	return found.(tally.Counter)
}

// CountTakeUp counts a request that takes up a stream by what the version that began the stream is known from.
func (m *Metrics) CountTakeUp(basis string) {
	m.scope.Tagged(map[string]string{"basis": basis}).Counter("stream_take_ups_total").Inc(1)
}

// Interfaces that CountPanic counts by.
const (
	Callers   = "callers"
	Directory = "directory"
	Readiness = "readiness"
	Scrapes   = "metrics"
)

// CountPanic counts a panic of an HTTP handler by the interface that it serves.
func (m *Metrics) CountPanic(httpInterface string) {
	m.scope.Tagged(map[string]string{"interface": httpInterface}).Counter("panics_total").Inc(1)
}
