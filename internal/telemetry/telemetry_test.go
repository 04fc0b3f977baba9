package telemetry

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func scrape(t *testing.T, handler http.Handler) string {
	t.Helper()
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, rec.Code, rec.Body.String())
	return rec.Body.String()
}

func TestMetricsPage(t *testing.T) {
	m, handler, closer := New(Options{Interval: time.Hour})
	m.SetConfigured([]string{"acme-1"}, []string{"m/1"})
	m.ObserveWait("acme-1", "m/1", 7*time.Millisecond)
	m.ObserveFirstToken("acme-1", "m/1", 1500*time.Millisecond)
	m.ObserveTokenGap("acme-1", "m/1", 60*time.Millisecond)
	m.ObserveAnswer("acme-1", "m/1", time.Hour)
	m.ObserveCost("acme-1", "m/1", 300)
	m.CountResult(result.AccountQueueFull, "m/1")
	m.SetRunning("m/1", 3)
	m.SetWaiting("m/1", 4)
	m.SetMembersLive(7)
	m.SetAppliedOffset(12345678)
	m.SetLogAge(1500 * time.Millisecond)
	m.SetCutOff(true)
	m.CountControl(Sent, RemoteZone, KindBidReport, 100)
	m.CountControl(Received, SameZone, Kind("new"), 50)
	require.NoError(t, closer.Close())

	page := scrape(t, handler)
	for _, line := range []string{
		`filbertrill_account_wait_seconds_bucket{account="acme-1",le="0.005"} 0`,
		`filbertrill_account_wait_seconds_bucket{account="acme-1",le="0.01"} 1`,
		`filbertrill_service_wait_seconds_bucket{service="m/1",le="0.01"} 1`,
		`filbertrill_account_first_token_seconds_bucket{account="acme-1",le="1.5"} 1`,
		`filbertrill_account_token_gap_seconds_bucket{account="acme-1",le="0.06"} 1`,
		`filbertrill_account_answer_seconds_bucket{account="acme-1",le="1800"} 0`,
		`filbertrill_account_answer_seconds_bucket{account="acme-1",le="+Inf"} 1`,
		`filbertrill_account_cost_tokens_bucket{account="acme-1",le="1024"} 1`,
		`filbertrill_account_served_tokens_total{account="acme-1"} 300`,
		`filbertrill_service_served_tokens_total{service="m/1"} 300`,
		`filbertrill_results_total{code="1101",name="account_queue_full",outcome="not_run",service="m/1"} 1`,
		`filbertrill_running_requests{service="m/1"} 3`,
		`filbertrill_waiting_requests{service="m/1"} 4`,
		`filbertrill_members_live 7`,
		`filbertrill_applied_offset 1.2345678e+07`,
		`filbertrill_log_age_seconds 1.5`,
		`filbertrill_cut_off 1`,
		`filbertrill_control_sent_bytes_total{kind="bid_report",scope="remote_zone"} 100`,
		`filbertrill_control_received_bytes_total{kind="other",scope="zone"} 50`,
	} {
		assert.Contains(t, page, line+"\n")
	}
}

// The ids in requests must not create series: only configured ids get a label value, and only
// until the limit is reached, also over changes of the configuration.
func TestLabelValuesAreBounded(t *testing.T) {
	m, handler, closer := New(Options{MaxAccounts: 2, MaxServices: 1, Interval: time.Hour})
	m.ObserveWait("early", "early", time.Second)
	m.SetConfigured([]string{"c", "b", "a"}, []string{"s", "t"})
	for _, account := range []string{"a", "b", "c", "stranger"} {
		m.ObserveWait(account, "t", time.Second)
	}
	m.CountResult(result.Code(77), "stranger")
	m.SetConfigured([]string{"d"}, nil)
	m.ObserveWait("a", "s", time.Second)
	m.ObserveWait("d", "s", time.Second)
	require.NoError(t, closer.Close())

	page := scrape(t, handler)
	counts := map[string]int{"a": 1, "b": 1, Other: 5}
	for account, n := range counts {
		assert.Contains(t, page, fmt.Sprintf("filbertrill_account_wait_seconds_count{account=%q} %d\n", account, n))
	}
	assert.Equal(t, len(counts), strings.Count(page, "filbertrill_account_wait_seconds_count{"))
	for _, absent := range []string{"stranger", "early", `"c"`, `"d"`, `"t"`} {
		assert.NotContains(t, page, absent)
	}
	assert.Contains(t, page, `code="3004"`)
}

func TestTwoMetricsInOneProcess(t *testing.T) {
	for range 2 {
		m, handler, closer := New(Options{Interval: time.Hour})
		m.SetMembersLive(1)
		defer func() { require.NoError(t, closer.Close()) }()
		assert.NotEmpty(t, scrape(t, handler))
	}
}

func TestReportsEveryInterval(t *testing.T) {
	m, handler, closer := New(Options{Interval: time.Millisecond})
	defer func() { require.NoError(t, closer.Close()) }()
	m.SetMembersLive(5)
	require.Eventually(t, func() bool {
		return strings.Contains(scrape(t, handler), "filbertrill_members_live 5\n")
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against numbers of callers and servers that let a counter decrease, which ends the process.
func TestOddNumbersOfTokensAreNotFatal(t *testing.T) {
	for _, tokens := range []float64{-2, math.MinInt64, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64} {
		m, handler, closer := New(Options{Interval: time.Hour})
		m.SetConfigured([]string{"acme"}, []string{"m"})
		for range 3 {
			m.CountAdmission("acme", "fair", true, tokens)
			m.ObserveCost("acme", "m", int64(tokens))
		}
		require.NotPanics(t, func() { require.NoError(t, closer.Close()) }, tokens)
		assert.NotContains(t, scrape(t, handler), "tokens_total{account=\"acme\"} -")
	}
}
