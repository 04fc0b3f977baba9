package logservice_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

func newLogAt(t *testing.T, a rawserver.Answer) *logservice.HTTPLog {
	t.Helper()
	log, err := logservice.NewHTTPLog("http://"+rawserver.ServeAnswer(t, a), timeout)
	require.NoError(t, err)
	return log
}

func TestBrokenAnswerDoesNotShowThatNothingWasAppended(t *testing.T) {
	for _, reason := range []string{"200 OK", "400 Bad Request", "503 Service Unavailable"} {
		for _, a := range rawserver.Broken(reason, "", `{"offsets":[{"partition":0,"offset":1}]}`) {
			_, err := newLogAt(t, a).Append(t.Context(), "topic", [][]byte{{1}})
			assert.Error(t, err, "%v", a)
			assert.False(t, errors.Is(err, logservice.ErrNotAppended), "%v: %v", a, err)
		}
	}
}

func TestBrokenAnswerIsNoRead(t *testing.T) {
	for _, a := range rawserver.Broken("200 OK", "", `[{"value":"AQ==","partition":0,"offset":0}]`) {
		records, err := newLogAt(t, a).Read(t.Context(), "topic", 0, 10)
		assert.Error(t, err, "%v", a)
		assert.False(t, errors.Is(err, logservice.ErrMoreRecords), "%v: %v", a, err)
		assert.Empty(t, records, "%v", a)
	}
}

func TestBrokenAnswerDoesNotShowThatRecordsExpired(t *testing.T) {
	for _, a := range rawserver.Broken("404 Not Found", "", `{"error_code":40403,"message":"x"}`) {
		_, err := newLogAt(t, a).Read(t.Context(), "topic", 0, 10)
		assert.Error(t, err, "%v", a)
		assert.False(t, errors.Is(err, logservice.ErrOffsetExpired), "%v: %v", a, err)
	}
}

func TestBrokenAnswerHasNoBounds(t *testing.T) {
	for _, a := range rawserver.Broken("200 OK", "", `{"beginning_offset":0,"end_offset":1}`) {
		bounds, err := newLogAt(t, a).Bounds(t.Context(), "topic")
		assert.Error(t, err, "%v: %v", a, bounds)
	}
}

func TestBrokenAnswerIsNoListOfInstances(t *testing.T) {
	for _, a := range rawserver.Broken("200 OK", "", `[{"targets":["127.0.0.1:1"],"labels":{"zone":"z1","state":"live"}}]`) {
		list, err := logservice.NewHTTPInstanceList("http://"+rawserver.ServeAnswer(t, a), timeout)
		require.NoError(t, err)
		instances, err := list.Instances(t.Context())
		assert.Error(t, err, "%v: %v", a, instances)
	}
}
