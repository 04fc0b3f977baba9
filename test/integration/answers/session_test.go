// Package answers holds sessions of callers whose answers meet failures.
package answers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/standin/engine"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

const chatPath = "/v1/chat/completions"

// idleLimit of the drafter in these sessions.
const idleLimit = 500 * time.Millisecond

// startFleet starts a fleet whose drafter has a short idle limit.
func startFleet(t testing.TB, daemons int, args ...string) *cluster.Fleet {
	f := cluster.StartFleet(t, cluster.Options{Daemons: daemons, DaemonArgs: args})
	f.NextTicket.Services[0].IdleLimit = ticket.Duration(idleLimit)
	return f
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"drafter","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a dossier"}]}`, stream, tokens)
}

// chatRequest returns a request for an answer of so many tokens.
func chatRequest(t testing.TB, address, body string) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer key-small")
	return req
}

// answer is what a caller received.
type answer struct {
	status  int
	code    string // result code
	outcome string
	token   string
	attempt string
	last    int // id of the last event; -1 for none
	text    string
	final   string // finish reason
	done    bool   // the end marker came
}

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason string                   `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		ResultCode int    `json:"result_code"`
		Outcome    string `json:"outcome"`
	} `json:"error"`
}

// take adds a chunk. It fails on one of another attempt.
func (a *answer) take(data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrapf(err, "chunk %q", data)
	}
	if c.Error != nil {
		a.code, a.outcome = strconv.Itoa(c.Error.ResultCode), c.Error.Outcome
		return nil
	}
	attempt := strings.TrimPrefix(c.ID, "chatcmpl-")
	if a.attempt != "" && a.attempt != attempt {
		return errors.Newf("answer of %s has a chunk of %s", a.attempt, attempt)
	}
	a.attempt = attempt
	for _, choice := range c.Choices {
		a.text += choice.Delta.Content + choice.Message.Content
		a.final += choice.FinishReason
	}
	return nil
}

// read takes in an answer until its end, or until it has the event of the offset.
func (a *answer) read(resp *http.Response, until int) error {
	a.status = resp.StatusCode
	a.code, a.outcome = resp.Header.Get("X-Result-Code"), resp.Header.Get("X-Outcome")
	a.token = resp.Header.Get("X-Resume-Token")
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		data, err := io.ReadAll(resp.Body)
		if err != nil || len(data) == 0 {
			return err
		}
		a.done = a.status == http.StatusOK
		return a.take(string(data))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if err := a.line(lines.Text()); err != nil {
			return err
		}
		if until >= 0 && a.last >= until && lines.Text() == "" {
			return nil
		}
	}
	return lines.Err()
}

func (a *answer) line(line string) error {
	if raw, ok := strings.CutPrefix(line, "id: "); ok {
		id, err := strconv.Atoi(raw)
		if err != nil || id != a.last+1 {
			return errors.Newf("event %q follows %d", raw, a.last)
		}
		a.last = id
		return nil
	}
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case !ok:
		return nil
	case data == "[DONE]":
		a.done = true
		return nil
	}
	return a.take(data)
}

// text returns the answer of an attempt in the stand-in.
func text(attempt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(attempt, i))
	}
	return b.String()
}

// wrong tells what differs from the whole answer of so many tokens; empty for nothing.
func (a *answer) wrong(tokens int) string {
	switch {
	case a.status != http.StatusOK || a.code != "" || !a.done:
		return fmt.Sprintf("not whole: %+v", *a)
	case a.text != text(a.attempt, tokens):
		return fmt.Sprintf("another text: %+v", *a)
	case a.final != "length":
		return fmt.Sprintf("finish reason: %+v", *a)
	}
	return ""
}

func do(req *http.Request) (answer, error) {
	a := answer{last: -1}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	return a, a.read(resp, -1)
}

// ask sends a request to a daemon and returns the answer.
func ask(t testing.TB, f *cluster.Fleet, daemon, tokens int, stream bool) answer {
	t.Helper()
	a, err := do(chatRequest(t, f.Daemons[daemon].Address, chatBody(tokens, stream)))
	require.NoError(t, err)
	return a
}

// fault puts a failure of a stand-in in force.
func fault(t testing.TB, p *cluster.Process, spec string) {
	t.Helper()
	require.NoError(t, cluster.PostJSON("http://"+p.Address+"/admin/faults", spec))
}

// ledger returns the runs of stand-ins.
func ledger(t testing.TB, servers ...*cluster.Process) []runs.Run {
	t.Helper()
	var all []runs.Run
	for _, p := range servers {
		resp, err := http.Get("http://" + p.Address + "/admin/runs")
		require.NoError(t, err)
		var list []runs.Run
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&list))
		require.NoError(t, resp.Body.Close())
		all = append(all, list...)
	}
	return all
}

// userOf returns the "user" field of a request, by which a stand-in's ledger tells it.
func userOf(t testing.TB, body string) string {
	var fields struct{ User string }
	require.NoError(t, json.Unmarshal([]byte(body), &fields))
	return fields.User
}
