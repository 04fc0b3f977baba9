package result

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDocsTableMatchesCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	require.NoError(t, err)
	var documented []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, i := range All() {
		want = append(want, fmt.Sprintf("| %d | `%s` | %d | %s | %s | %d | %s |",
			i.Code, i.Name, i.HTTPStatus, i.Class, i.Retry, ExitCode(i.Code), i.Description))
	}
	assert.Equal(t, want, documented)
}

func TestClassFollowsNumber(t *testing.T) {
	names := map[string]Code{}
	last := Code(-1)
	for _, i := range All() {
		assert.Greater(t, i.Code, last, "ascending and unique")
		last = i.Code
		assert.NotContains(t, names, i.Name)
		names[i.Name] = i.Code
		switch i.Code / 1000 {
		case 0:
			assert.Equal(t, Done, i.Class)
		case 1, 5:
			assert.Equal(t, NotRun, i.Class, i.Name)
		case 2:
			assert.Equal(t, Partial, i.Class, i.Name)
		case 3:
			assert.Equal(t, Unknown, i.Class, i.Name)
		case 4:
			assert.Contains(t, []Class{NotRun, Unknown}, i.Class, i.Name)
		default:
			assert.Fail(t, "number out of range", i.Name)
		}
	}
}

func TestOnlyNotRunAdvisesRetryWithoutKey(t *testing.T) {
	for _, i := range All() {
		if i.Retry == RetrySameDaemon || i.Retry == RetryAnotherEntry {
			assert.Equal(t, NotRun, i.Class, i.Name)
		}
	}
}

func TestFrom(t *testing.T) {
	cause := errors.New("dial refused")
	wrapped := errors.Wrap(Wrap(cause, NoServerJoined, "no server for %s", "m1").WithRetryAfter(time.Minute), "route")
	e := From(wrapped)
	assert.Equal(t, NoServerJoined, e.Code)
	assert.Equal(t, time.Minute, e.RetryAfter)
	assert.Equal(t, "1105 no_server_joined: no server for m1: dial refused", e.Error())
	assert.ErrorIs(t, wrapped, cause)

	plain := From(cause)
	assert.Equal(t, Internal, plain.Code)
	assert.Equal(t, Unknown, plain.Class())
	assert.NotContains(t, plain.Message, "dial")
	assert.Nil(t, From(nil))
	assert.Equal(t, OK, CodeOf(nil))
	assert.Equal(t, Unknown, Code(9999).Class())
}

func TestWriteHTTP(t *testing.T) {
	rec := httptest.NewRecorder()
	WriteHTTP(rec, New(AccountQueueFull, "queue full").WithRetryAfter(1500*time.Millisecond))
	assert.Equal(t, 429, rec.Code)
	assert.Equal(t, "2", rec.Header().Get("Retry-After"))
	assert.Equal(t, "1101", rec.Header().Get("X-Result-Code"))
	assert.Equal(t, "not_run", rec.Header().Get("X-Outcome"))
	assert.JSONEq(t, `{"error":{"message":"queue full","type":"rate_limit_error","code":"account_queue_full",
		"result_code":1101,"outcome":"not_run","retry":"same_daemon","retry_after_ms":1500}}`, rec.Body.String())
}

func TestWriteHTTPRetryAfterProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		info := rapid.SampledFrom(All()).Draw(t, "code")
		wait := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "wait"))
		rec := httptest.NewRecorder()
		WriteHTTP(rec, New(info.Code, "x").WithRetryAfter(wait))
		header := rec.Header().Get("Retry-After")
		if info.Retry == RetryNever {
			require.Empty(t, header)
			return
		}
		seconds, err := time.ParseDuration(header + "s")
		require.NoError(t, err)
		require.GreaterOrEqual(t, seconds, max(wait, time.Second))
		require.Less(t, seconds-max(wait, time.Second), time.Second)
	})
}

func TestSSE(t *testing.T) {
	event := string(SSE(New(StreamBroken, "line one\nline two")))
	data, ok := strings.CutPrefix(event, "event: error\ndata: ")
	require.True(t, ok)
	require.True(t, strings.HasSuffix(data, "\n\n"))
	require.Equal(t, 2, strings.Count(data, "\n"), "the data is one line")
	var got errorResponse
	require.NoError(t, json.Unmarshal([]byte(data), &got))
	assert.Equal(t, Partial, got.Error.Outcome)
	assert.Equal(t, 2001, got.Error.ResultCode)
	assert.Nil(t, SSE(nil))
}

func TestExitCode(t *testing.T) {
	want := map[Code]int{
		OK: 0, TicketMalformed: 1, SettingMissing: 2, StreamBroken: 3,
		AppendOutcomeUnknown: 4, TicketNotAcceptedInTime: 4, LogUnavailable: 5, Code(77): 4,
	}
	for code, exit := range want {
		assert.Equal(t, exit, ExitCode(code), code.String())
	}
}
