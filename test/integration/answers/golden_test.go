package answers

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// transcript records the requests and responses of a session as text.
type transcript struct {
	t   *testing.T
	out bytes.Buffer
}

// roundTrip sends a request with this head and body, records it with its response, and returns the
// resume token.
func (tr *transcript) roundTrip(address, head, body string) string {
	tr.t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(tr.t, err)
	defer func() { _ = conn.Close() }()
	request := strings.ReplaceAll(head, "\n", "\r\n") + fmt.Sprintf("\r\nHost: daemon\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, err = io.WriteString(conn, request)
	require.NoError(tr.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(tr.t, err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(tr.t, err)
	tr.record(head, body, resp, answer)
	return resp.Header.Get("X-Resume-Token")
}

func (tr *transcript) record(head, body string, resp *http.Response, answer []byte) {
	for line := range strings.Lines(strings.TrimSpace(head+"\n\n"+body) + "\n") {
		fmt.Fprintf(&tr.out, "> %s", line)
	}
	fmt.Fprintf(&tr.out, "< %s\n", resp.Status)
	for _, name := range slices.Sorted(maps.Keys(resp.Header)) {
		if name != "Date" {
			fmt.Fprintf(&tr.out, "< %s: %s\n", name, resp.Header.Get(name))
		}
	}
	for line := range strings.Lines("\n" + string(answer)) {
		fmt.Fprintf(&tr.out, "< %s", line)
	}
	tr.out.WriteString("\n")
}

// replacements replace values that differ between runs.
var replacements = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`v1\.[\w-]{20,}\.[\w-]+`), "TOKEN"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`"content":"(w\d+ )+"`), `"content":"WORDS"`},
	{regexp.MustCompile(`Content-Length: \d+`), `Content-Length: N`},
}

// compareGolden compares the transcript with its golden file.
func (tr *transcript) compareGolden(name string) {
	tr.t.Helper()
	got := tr.out.String()
	for _, r := range replacements {
		got = r.pattern.ReplaceAllString(got, r.with)
	}
	file := filepath.Join("testdata", name+".txt")
	if *update {
		require.NoError(tr.t, os.MkdirAll("testdata", 0o755))
		require.NoError(tr.t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(tr.t, err)
	require.Equal(tr.t, string(want), got)
}

const chatHead = "POST /v1/chat/completions HTTP/1.1\nAuthorization: Bearer key-small\nContent-Type: application/json"

// TestGoldenSessions compares complete sessions of callers with the golden files in testdata.
func TestGoldenSessions(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	f.NextTicket.Services[0].Deadline = ticket.Duration(cluster.WaitTimeout)
	engine := f.AddEngine("z1", 4, "--token-interval", "5ms")
	f.SubmitNext()
	first, second := f.Daemons[0].Address, f.Daemons[1].Address
	bodyWithUsage := `{"model":"drafter","stream":true,"stream_options":{"include_usage":true},"max_tokens":3,"messages":[{"role":"user","content":"a dossier"}]}`
	sessions := []struct {
		name, fault string
		run         func(tr *transcript)
	}{
		{"stream", `{}`, func(tr *transcript) { tr.roundTrip(first, chatHead, chatBody(3, true)) }},
		{"stream-with-usage", `{}`, func(tr *transcript) { tr.roundTrip(first, chatHead, bodyWithUsage) }},
		{"stream-broken-and-resumed", `{"mode":"close_mid_stream","after_tokens":2,"count":2,"duplicate_events":true}`,
			func(tr *transcript) { tr.roundTrip(first, chatHead, chatBody(3, true)) }},
		{"whole", `{}`, func(tr *transcript) { tr.roundTrip(first, chatHead, chatBody(3, false)) }},
		{"wrong-request", `{}`, func(tr *transcript) { tr.roundTrip(first, chatHead, `{"model":"drafter","messages":[]}`) }},
		{"no-key", `{}`, func(tr *transcript) { tr.roundTrip(first, "POST /v1/chat/completions HTTP/1.1", chatBody(3, true)) }},
		{"continued-elsewhere", `{}`, func(tr *transcript) {
			token := tr.roundTrip(first, chatHead, chatBody(3, true))
			resume := "GET /v1/resume HTTP/1.1\nAuthorization: Bearer %s\nX-Resume-Token: %s\nLast-Event-ID: %s"
			tr.roundTrip(second, fmt.Sprintf(resume, "key-small", token, "1"), "")
			tr.roundTrip(second, fmt.Sprintf(resume, "key-large", token, "1"), "")
			tr.roundTrip(second, fmt.Sprintf(resume, "key-small", "forged", "1"), "")
		}},
	}
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			setFault(t, engine, s.fault)
			defer setFault(t, engine, `{}`)
			tr := &transcript{t: t}
			s.run(tr)
			tr.compareGolden(s.name)
		})
	}
	t.Run("engine-gone", func(t *testing.T) {
		tr := &transcript{t: t}
		token := tr.roundTrip(first, chatHead, chatBody(2, true))
		engine.Kill()
		tr.roundTrip(second, "GET /v1/resume HTTP/1.1\nAuthorization: Bearer key-small\nX-Resume-Token: "+token+"\nLast-Event-ID: 0", "")
		tr.compareGolden("engine-gone")
	})
}
