// Package answers tests answers of model engines end to end while engines, links, daemons and callers
// fail.
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

// idleLimit is the idle limit of the service "drafter" in these tests.
const idleLimit = 500 * time.Millisecond

// startFleet starts a fleet in which the service "drafter" has a short idle limit.
func startFleet(t testing.TB, daemons int, args ...string) *cluster.Fleet {
	f := cluster.StartFleet(t, cluster.Options{Daemons: daemons, DaemonArgs: args})
	f.NextTicket.Services[0].IdleLimit = ticket.Duration(idleLimit)
	return f
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"drafter","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a dossier"}]}`, stream, tokens)
}

// newChatRequest returns a chat completion request of the account "small".
func newChatRequest(t testing.TB, address, body string) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer key-small")
	return req
}

// answer is the part of an answer that a caller has received.
type answer struct {
	status       int
	code         string // result code
	outcome      string
	resumeToken  string
	attemptID    string
	lastEventID  int // -1 if no event was received
	text         string
	finishReason string
	complete     bool // the end marker or a complete JSON answer was received

	response *http.Response // that lines reads
	lines    *bufio.Scanner
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

// addChunk adds a chunk. It returns an error if the chunk belongs to another attempt.
func (a *answer) addChunk(data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrapf(err, "chunk %q", data)
	}
	if c.Error != nil {
		a.code, a.outcome = strconv.Itoa(c.Error.ResultCode), c.Error.Outcome
		return nil
	}
	attemptID := strings.TrimPrefix(c.ID, "chatcmpl-")
	if a.attemptID != "" && a.attemptID != attemptID {
		return errors.Newf("answer of attempt %s contains a chunk of attempt %s", a.attemptID, attemptID)
	}
	a.attemptID = attemptID
	for _, choice := range c.Choices {
		a.text += choice.Delta.Content + choice.Message.Content
		a.finishReason += choice.FinishReason
	}
	return nil
}

// read reads a response to its end, or to the event with the id untilID if that is not negative.
func (a *answer) read(resp *http.Response, untilID int) error {
	a.status = resp.StatusCode
	a.code, a.outcome = resp.Header.Get("X-Result-Code"), resp.Header.Get("X-Outcome")
	a.resumeToken = resp.Header.Get("X-Resume-Token")
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		data, err := io.ReadAll(resp.Body)
		if err != nil || len(data) == 0 {
			return err
		}
		a.complete = a.status == http.StatusOK
		return a.addChunk(string(data))
	}
	if a.response != resp { // a further read goes on with what the scanner has read ahead
		a.response, a.lines = resp, bufio.NewScanner(resp.Body)
	}
	for a.lines.Scan() {
		if err := a.addLine(a.lines.Text()); err != nil {
			return err
		}
		if untilID >= 0 && a.lastEventID >= untilID && a.lines.Text() == "" {
			return nil
		}
	}
	return a.lines.Err()
}

// addLine adds a line of an event stream. It returns an error if an event id is not the successor of the
// last one.
func (a *answer) addLine(line string) error {
	if raw, ok := strings.CutPrefix(line, "id: "); ok {
		id, err := strconv.Atoi(raw)
		if err != nil || id != a.lastEventID+1 {
			return errors.Newf("event id %q follows %d", raw, a.lastEventID)
		}
		a.lastEventID = id
		return nil
	}
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case !ok:
		return nil
	case data == "[DONE]":
		a.complete = true
		return nil
	}
	return a.addChunk(data)
}

// wantText returns the first tokens that a stand-in engine generates for an attempt.
func wantText(attemptID string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(attemptID, i))
	}
	return b.String()
}

// mismatch describes how the answer differs from a complete one with this number of tokens. It returns
// an empty string if it does not differ.
func (a *answer) mismatch(tokens int) string {
	switch {
	case a.status != http.StatusOK || a.code != "" || !a.complete:
		return fmt.Sprintf("incomplete answer: %+v", *a)
	case a.text != wantText(a.attemptID, tokens):
		return fmt.Sprintf("unexpected text: %+v", *a)
	case a.finishReason != "length":
		return fmt.Sprintf("unexpected finish reason: %+v", *a)
	}
	return ""
}

func send(req *http.Request) (answer, error) {
	a := answer{lastEventID: -1}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	return a, a.read(resp, -1)
}

// sendChat sends a chat completion request to a daemon and returns the answer.
func sendChat(t testing.TB, f *cluster.Fleet, daemon, tokens int, stream bool) answer {
	t.Helper()
	a, err := send(newChatRequest(t, f.Daemons[daemon].Address, chatBody(tokens, stream)))
	require.NoError(t, err)
	return a
}

// setFault replaces the active fault of a stand-in server. The spec is the JSON of a faults.Fault.
func setFault(t testing.TB, p *cluster.Process, spec string) {
	t.Helper()
	require.NoError(t, cluster.PostJSON("http://"+p.Address+"/admin/faults", spec))
}

// listRuns returns the runs that the stand-in servers have recorded.
func listRuns(t testing.TB, servers ...*cluster.Process) []runs.Run {
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

// userField returns the "user" field of a request body, which a stand-in records with the run.
func userField(t testing.TB, body string) string {
	var fields struct{ User string }
	require.NoError(t, json.Unmarshal([]byte(body), &fields))
	return fields.User
}
