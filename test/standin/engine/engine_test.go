package engine_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/standin/engine"
	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

const (
	waitTimeout    = 20 * time.Second
	chatPath       = "/v1/chat/completions"
	endlessRequest = `{"model":"standin","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"a"}]}`
	shortRequest   = `{"model":"standin","stream":true,"max_completion_tokens":5,` +
		`"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"a b c"}]}`
)

func startEngine(t *testing.T, opts engine.Options) (*engine.Engine, string) {
	t.Helper()
	e := engine.New(opts)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	return e, server.URL
}

func send(t *testing.T, method, url, body string, header map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readEvents reads a stream to its end. It returns the event ids, the concatenated text and the
// error that ended the stream, if any.
func readEvents(body io.Reader) (ids []string, text string, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return ids, text, err
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return ids, text, scanner.Err()
}

func TestResume(t *testing.T) {
	e, url := startEngine(t, engine.Options{})
	id := map[string]string{"X-Request-Id": "r1"}
	_, whole, err := readEvents(send(t, http.MethodPost, url+chatPath, shortRequest, id).Body)
	require.NoError(t, err)

	e.SetFault(faults.Fault{Mode: faults.CloseMidStream, Count: 1, AfterTokens: 2})
	ids, first, err := readEvents(send(t, http.MethodPost, url+chatPath, shortRequest, id).Body)
	require.Error(t, err)
	require.Equal(t, []string{"r1:0", "r1:1"}, ids)

	last := map[string]string{"Last-Event-ID": "r1:1"}
	ids, rest, err := readEvents(send(t, http.MethodGet, url+chatPath+"/r1", "", last).Body)
	require.NoError(t, err)
	require.Equal(t, []string{"r1:2", "r1:3", "r1:4", "r1:5", "r1:6"}, ids)
	require.Equal(t, whole, first+rest)
	require.Len(t, e.Runs(), 2)

	resp := send(t, http.MethodGet, url+chatPath+"/r2", "", nil)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}

func TestCancelFreesSlot(t *testing.T) {
	e, url := startEngine(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	_ = send(t, http.MethodPost, url+chatPath, endlessRequest, map[string]string{"X-Request-Id": "r1"})
	waiting := send(t, http.MethodPost, url+chatPath, shortRequest, map[string]string{"X-Request-Id": "r2"})
	require.Equal(t, engine.Load{Running: 1, Waiting: 1}, e.Load())

	resp := send(t, http.MethodDelete, url+chatPath+"/r1", "", nil)
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
	ids, _, err := readEvents(waiting.Body)
	require.NoError(t, err)
	require.Len(t, ids, 7)
	require.Eventually(t, func() bool {
		recorded := e.Runs()
		return recorded[0].Outcome == runs.Cancelled && recorded[1].Outcome == runs.Finished
	}, waitTimeout, time.Millisecond)
	resp = send(t, http.MethodDelete, url+chatPath+"/r1", "", nil)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}

func TestRunAbandonedAfterResumeWindow(t *testing.T) {
	e, url := startEngine(t, engine.Options{TokenInterval: time.Millisecond, ResumeWindow: time.Millisecond})
	resp := send(t, http.MethodPost, url+chatPath, endlessRequest, nil)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return e.Runs()[0].Outcome == runs.Abandoned }, waitTimeout, time.Millisecond)
	require.Zero(t, e.Load())
}

func TestOrderFenceCheck(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, url := startEngine(t, engine.Options{ChecksOrders: checks})
		resp := send(t, http.MethodPost, url+"/admin/order", `{"fence":2,"order":"role"}`, nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		resp = send(t, http.MethodPost, url+"/admin/order", `{"fence":1,"order":"drain"}`, nil)
		require.Equal(t, checks, resp.StatusCode == http.StatusConflict)
		resp = send(t, http.MethodPost, url+chatPath, shortRequest, nil)
		require.Equal(t, checks, resp.StatusCode == http.StatusOK)
	}
}

func TestDuplicateAndForeignEvents(t *testing.T) {
	e, url := startEngine(t, engine.Options{})
	e.SetFault(faults.Fault{DuplicateEvents: true, ForeignID: "r9", Count: 1})
	header := map[string]string{"X-Request-Id": "r1"}
	ids, _, err := readEvents(send(t, http.MethodPost, url+chatPath, shortRequest, header).Body)
	require.NoError(t, err)
	require.Equal(t, []string{"r9:0", "r1:0", "r1:0", "r1:1", "r1:1"}, ids[:5])
	require.Len(t, ids, 15)
}

func TestNonStreamingAnswer(t *testing.T) {
	e, url := startEngine(t, engine.Options{})
	body := strings.Replace(shortRequest, `"stream":true`, `"stream":false`, 1)
	header := map[string]string{"X-Request-Id": "r1"}
	var answer struct {
		ID      string
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	resp := send(t, http.MethodPost, url+chatPath, body, header)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.Equal(t, "chatcmpl-r1", answer.ID)
	require.Len(t, strings.Fields(answer.Choices[0].Message.Content), 5)
	require.Equal(t, 5, answer.Usage.CompletionTokens)

	e.SetFault(faults.Fault{Mode: faults.LoseAnswer, Count: 1})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	resp, err = http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
	require.Len(t, e.Runs(), 2)
}

func TestLoadLagAndEventGaps(t *testing.T) {
	var seconds atomic.Int64
	e, url := startEngine(t, engine.Options{
		LoadLag:       5 * time.Second,
		EventLag:      5 * time.Second,
		EventGapEvery: 2,
		TokenInterval: time.Millisecond,
		Now:           func() time.Time { return time.Unix(seconds.Load(), 0) },
	})
	long := strings.Replace(endlessRequest, `"a"`, `"`+strings.Repeat("a ", 48)+`"`, 1)
	_ = send(t, http.MethodPost, url+chatPath, long, nil)
	get := func(path string) string {
		body, err := io.ReadAll(send(t, http.MethodGet, url+path, "", nil).Body)
		require.NoError(t, err)
		return string(body)
	}
	require.Equal(t, 1, e.Load().Running)
	require.JSONEq(t, `{"running":0,"waiting":0}`, get("/load"))
	require.JSONEq(t, `{"events":[]}`, get("/events"))
	seconds.Store(5)
	require.JSONEq(t, `{"running":1,"waiting":0}`, get("/load"))
	require.Eventually(t, func() bool {
		seconds.Add(5)
		reported := get("/events?after=0")
		return strings.Contains(reported, `"seq":1`) && strings.Contains(reported, `"seq":3`) &&
			!strings.Contains(reported, `"seq":2`)
	}, waitTimeout, time.Millisecond)
}
