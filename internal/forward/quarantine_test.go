package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
)

func TestTrialIsSentAlthoughPartIsHeld(t *testing.T) {
	h := newBusyHandler(t)
	config := h.Config()
	newCall := func() *call {
		return &call{
			request: httptest.NewRequest(http.MethodGet, "http://h/", nil), config: config, route: &config.Routes[0], service: &config.Services[0],
			envelope: &Envelope{Parts: []placement.Part{{ID: 7}, {ID: 8}}}, deadline: time.Now().Add(time.Minute),
		}
	}
	sent := 0
	buffer := h.bufferBody(chain.HandlerFunc[*call](func(context.Context, *call) error { sent++; return nil }))
	handle := func() error {
		c := newCall()
		if err := h.chooseServer(c); result.CodeOf(err) == result.PromptQuarantined {
			return err
		}
		return buffer.Handle(context.Background(), c)
	}
	require.NoError(t, handle())
	now := time.Now()
	var report quarantine.Report
	report.ID = 7
	for server := range uint64(3) {
		report.Ends = append(report.Ends, quarantine.ReportedEnd{Server: server, Age: time.Second, Begun: true})
	}
	h.Scheduler.MergeQuarantine([]quarantine.Report{report}, now)
	assert.Equal(t, result.PromptQuarantined, result.CodeOf(handle()))
	assert.Equal(t, 1, sent)

	report.ID = 9
	for i := range report.Ends {
		report.Ends[i].Server += 10
	}
	report.AddAge(30 * time.Second) // a trial is due
	h.Scheduler.MergeQuarantine([]quarantine.Report{report}, now)
	trial := newCall()
	trial.envelope.Parts[0].ID = 9
	err := h.chooseServer(trial)
	assert.NotEqual(t, result.PromptQuarantined, result.CodeOf(err))
	require.NoError(t, buffer.Handle(context.Background(), trial))
	assert.Equal(t, 2, sent)
	repeat := newCall()
	repeat.envelope.Parts[0].ID = 9
	assert.Equal(t, result.PromptQuarantined, result.CodeOf(h.chooseServer(repeat)), "one trial at a time")
	_, ok, _ := h.Scheduler.DecideRetry(h.schedulerRequest(trial), nil, true, time.Now())
	assert.False(t, ok, "a trial is not repeated")
}
