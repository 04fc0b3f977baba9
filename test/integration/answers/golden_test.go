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

var update = flag.Bool("update", false, "write the golden files anew")

// dialogue is one session of a caller with the daemons, as text.
type dialogue struct {
	t   *testing.T
	out bytes.Buffer
}

// exchange sends a request as it stands, and notes it with its answer.
func (d *dialogue) exchange(address, head, body string) string {
	d.t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(d.t, err)
	defer func() { _ = conn.Close() }()
	request := strings.ReplaceAll(head, "\n", "\r\n") + fmt.Sprintf("\r\nHost: daemon\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, err = io.WriteString(conn, request)
	require.NoError(d.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	d.note(head, body, resp, answer)
	return resp.Header.Get("X-Resume-Token")
}

func (d *dialogue) note(head, body string, resp *http.Response, answer []byte) {
	for line := range strings.Lines(strings.TrimSpace(head+"\n\n"+body) + "\n") {
		fmt.Fprintf(&d.out, "> %s", line)
	}
	fmt.Fprintf(&d.out, "< %s\n", resp.Status)
	for _, name := range slices.Sorted(maps.Keys(resp.Header)) {
		if name != "Date" {
			fmt.Fprintf(&d.out, "< %s: %s\n", name, resp.Header.Get(name))
		}
	}
	for line := range strings.Lines("\n" + string(answer)) {
		fmt.Fprintf(&d.out, "< %s", line)
	}
	d.out.WriteString("\n")
}

var varying = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`v1\.[\w-]{20,}\.[\w-]+`), "TOKEN"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`"content":"(w\d+ )+"`), `"content":"WORDS"`},
	{regexp.MustCompile(`Content-Length: \d+`), `Content-Length: N`},
}

// compare compares the session with its golden file.
func (d *dialogue) compare(name string) {
	d.t.Helper()
	got := d.out.String()
	for _, v := range varying {
		got = v.pattern.ReplaceAllString(got, v.with)
	}
	file := filepath.Join("testdata", name+".txt")
	if *update {
		require.NoError(d.t, os.MkdirAll("testdata", 0o755))
		require.NoError(d.t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(d.t, err)
	require.Equal(d.t, string(want), got)
}

const chatHead = "POST /v1/chat/completions HTTP/1.1\nAuthorization: Bearer key-small\nContent-Type: application/json"

// TestGoldenSessions compares whole sessions of callers with the files in testdata.
func TestGoldenSessions(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	f.NextTicket.Services[0].Deadline = ticket.Duration(cluster.WaitTimeout)
	engine := f.AddEngine("z1", 4, "--token-interval", "5ms")
	f.SubmitNext()
	first, second := f.Daemons[0].Address, f.Daemons[1].Address
	withUsage := `{"model":"drafter","stream":true,"stream_options":{"include_usage":true},"max_tokens":3,"messages":[{"role":"user","content":"a dossier"}]}`
	sessions := []struct {
		name, fault string
		say         func(d *dialogue)
	}{
		{"stream", `{}`, func(d *dialogue) { d.exchange(first, chatHead, chatBody(3, true)) }},
		{"stream-with-usage", `{}`, func(d *dialogue) { d.exchange(first, chatHead, withUsage) }},
		{"stream-broken-and-resumed", `{"mode":"close_mid_stream","after_tokens":2,"count":2,"duplicate_events":true}`,
			func(d *dialogue) { d.exchange(first, chatHead, chatBody(3, true)) }},
		{"whole", `{}`, func(d *dialogue) { d.exchange(first, chatHead, chatBody(3, false)) }},
		{"wrong-request", `{}`, func(d *dialogue) { d.exchange(first, chatHead, `{"model":"drafter","messages":[]}`) }},
		{"no-key", `{}`, func(d *dialogue) { d.exchange(first, "POST /v1/chat/completions HTTP/1.1", chatBody(3, true)) }},
		{"continued-elsewhere", `{}`, func(d *dialogue) {
			token := d.exchange(first, chatHead, chatBody(3, true))
			resume := "GET /v1/resume HTTP/1.1\nAuthorization: Bearer %s\nX-Resume-Token: %s\nLast-Event-ID: %s"
			d.exchange(second, fmt.Sprintf(resume, "key-small", token, "1"), "")
			d.exchange(second, fmt.Sprintf(resume, "key-large", token, "1"), "")
			d.exchange(second, fmt.Sprintf(resume, "key-small", "forged", "1"), "")
		}},
	}
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			fault(t, engine, s.fault)
			defer fault(t, engine, `{}`)
			d := &dialogue{t: t}
			s.say(d)
			d.compare(s.name)
		})
	}
	t.Run("engine-gone", func(t *testing.T) {
		d := &dialogue{t: t}
		token := d.exchange(first, chatHead, chatBody(2, true))
		engine.Kill()
		d.exchange(second, "GET /v1/resume HTTP/1.1\nAuthorization: Bearer key-small\nX-Resume-Token: "+token+"\nLast-Event-ID: 0", "")
		d.compare("engine-gone")
	})
}
