package ticket

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"
	"pgregory.net/rapid"
)

var testKeyHash = strings.Repeat("a", 64)

const ticketHeader = "number: 1\nauthor: a\nreason: r\n"

func TestParseReportsProblemsWithLines(t *testing.T) {
	const server = "servers:\n- {id: s, service: m, zone: z, slots: 1, address: \"127.0.0.1:1\"}\n"
	account := func(fields string) string { return ticketHeader + "accounts:\n- id: x\n  " + fields + "\n" }
	tests := map[string]struct {
		text string
		want []string
	}{
		"empty":             {"", []string{"f:1: the document is empty"}},
		"comment only":      {"# nothing\n", []string{"f:1: the document is empty"}},
		"syntax":            {ticketHeader + "a: [", []string{"f:4: did not find expected node content"}},
		"not a mapping":     {"- 1\n", []string{"f:1: must be a mapping of fields"}},
		"two documents":     {ticketHeader + server + "---\nnumber: 2\n", []string{"f:6: only one document is allowed"}},
		"alias":             {"number: 1\nauthor: &a x\nreason: *a\n" + server, []string{"f:3: aliases are not allowed"}},
		"nothing in it":     {ticketHeader, []string{"f:1: a ticket needs at least one account, service or server"}},
		"number zero":       {"number: 0\nauthor: a\nreason: r\n" + server, []string{"f:1: number: must be a whole number from 1 to 9007199254740991"}},
		"number negative":   {"number: -4\nauthor: a\nreason: r\n" + server, []string{"f:1: number: must be a whole number from 1 to 9007199254740991"}},
		"number fraction":   {"number: 1.5\nauthor: a\nreason: r\n" + server, []string{"f:1: number: must be a whole number"}},
		"number text":       {"number: \"1\"\nauthor: a\nreason: r\n" + server, []string{"f:1: number: must be a whole number"}},
		"missing fields":    {server, []string{"f:1: number: is required", "f:1: author: is required", "f:1: reason: is required"}},
		"blank reason":      {"number: 1\nauthor: a\nreason: \" \"\n" + server, []string{"f:3: reason: must not be empty"}},
		"author type":       {"number: 1\nauthor: 7\nreason: r\n" + server, []string{"f:2: author: must be a string"}},
		"control character": {"number: 1\nauthor: \"a\\e\"\nreason: r\n" + server, []string{"f:2: author: contains the unprintable character U+001B"}},
		"unknown field":     {ticketHeader + server + "colour: red\n", []string{"f:6: colour: unknown field"}},
		"field twice":       {ticketHeader + "number: 2\n" + server, []string{"f:4: number: field is given twice"}},
		"list type":         {ticketHeader + "servers: 5\n", []string{"f:1: a ticket needs at least one account, service or server", "f:4: servers: must be a list"}},
		"entry type":        {ticketHeader + "servers:\n- 5\n", []string{"f:5: servers[0]: must be a mapping of fields"}},
		"bad id":            {ticketHeader + "accounts:\n- id: a b\n  keyHashes: []\n", []string{"f:5: accounts[0].id: must be 1 to 128 letters, digits or . _ : / - and start with a letter or digit"}},
		"no key":            {account("weight: 1"), []string{"f:5: accounts[0].keyHashes: is required"}},
		"bad hash":          {account("keyHashes: [" + testKeyHash + ", ABC]"), []string{"f:6: accounts[0].keyHashes[1]: must be the lower-case hexadecimal SHA-256 of an API key"}},
		"same hash":         {account("keyHashes:\n  - " + testKeyHash + "\n  - " + testKeyHash), []string{"f:8: accounts[0].keyHashes[1]: duplicate of line 7"}},
		"negative weight":   {account("keyHashes: []\n  weight: -1"), []string{"f:7: accounts[0].weight: must be a number above 0 and at most 1e+06"}},
		"weight zero":       {account("keyHashes: []\n  weight: 0"), []string{"f:7: accounts[0].weight: must be a number above 0 and at most 1e+06"}},
		"weight NaN":        {account("keyHashes: []\n  weight: .nan"), []string{"f:7: accounts[0].weight: must be a number above 0 and at most 1e+06"}},
		"queue":             {account("keyHashes: []\n  maxQueued: 0"), []string{"f:7: accounts[0].maxQueued: must be a whole number from 1 to 1048576"}},
		"unknown presence":  {account("keyHashes: []\n  presence: gone"), []string{"f:7: accounts[0].presence: must be one of: active, removed"}},
		"duplicate account": {account("keyHashes: []\n- id: x\n  keyHashes: []"), []string{"f:7: accounts[1].id: duplicate of line 5"}},
		"service": {
			ticketHeader + "services:\n- id: m\n  kind: odd\n  deadline: 5\n  idleLimit: -1s\n  repeatable: maybe\n  standby: -1\n  cutOff: x\n",
			[]string{
				"f:6: services[0].kind: must be one of: model, plain",
				`f:7: services[0].deadline: must be a duration such as "30s"`,
				`f:8: services[0].idleLimit: must be a duration such as "30s", above 0 and at most 24h0m0s`,
				"f:9: services[0].repeatable: must be true or false",
				"f:10: services[0].standby: must be a whole number from 0 to 65536",
				"f:11: services[0].cutOff: must be one of: refuse, serve",
			},
		},
		"server": {
			ticketHeader + "servers:\n- id: s\n  service: m\n  address: localhost:80\n  slots: 0\n  state: asleep\n- id: s\n  service: m\n  zone: z\n  slots: 1\n  address: 10.0.0.1:0\n",
			[]string{
				"f:5: servers[0].zone: is required",
				"f:7: servers[0].address: must be an IP address and a port such as 10.0.0.7:8000",
				"f:8: servers[0].slots: must be a whole number from 1 to 65536",
				"f:9: servers[0].state: must be one of: joined, leaving, removed",
				"f:10: servers[1].id: duplicate of line 5",
				"f:14: servers[1].address: must be an IP address and a port such as 10.0.0.7:8000",
			},
		},
		"JSON": {"{\n\t\"number\": 1,\n\t\"author\": \"a\",\n\t\"reason\": \"r\",\n\t\"extra\": 1\n}", []string{
			"f:1: a ticket needs at least one account, service or server",
			"f:5: extra: unknown field",
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(test.text))
			var problems Problems
			require.ErrorAs(t, err, &problems)
			require.Equal(t, strings.Join(test.want, "\n"), problems.Error())
		})
	}
}

func TestParseFillsDefaults(t *testing.T) {
	text := ticketHeader + "accounts: [{id: x, keyHashes: [" + testKeyHash + "]}]\n" +
		"services: [{id: m, kind: plain}]\n" +
		"servers: [{id: s, service: m, zone: z, slots: 1, address: \"[::1]:5\"}]\n"
	got, err := Parse("f", []byte(text))
	require.NoError(t, err)
	require.Equal(t, Ticket{
		Number: 1,
		Author: "a",
		Reason: "r",
		Accounts: []Account{{
			ID: "x", Weight: 1, KeyHashes: []string{testKeyHash},
			MaxQueued: 256, MaxQueuedBytes: 64 << 20, Presence: PresenceActive,
		}},
		Services: []Service{{
			ID: "m", Kind: ServicePlain, Deadline: Duration(time.Minute),
			IdleLimit: Duration(30 * time.Second), CutOff: CutOffRefuse, Scope: ScopeZone, Presence: PresenceActive,
		}},
		Servers: []Server{{ID: "s", Service: "m", Address: "[::1]:5", Zone: "z", Slots: 1, State: ServerJoined}},
	}, got)
}

func TestExampleTicketsApplyInOrder(t *testing.T) {
	files, err := filepath.Glob("../../examples/tickets/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	s := NewState()
	for i, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		example, err := Parse(file, data)
		require.NoError(t, err)
		require.Equal(t, OutcomeApplied, s.Apply(int64(i), encodeTicket(t, example)).Outcome)
	}
}

func TestParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := canonical(ticketGenerator().Draw(t, "ticket"))
		jsonData, err := json.Marshal(want)
		require.NoError(t, err)
		got, err := Parse("json", jsonData)
		require.NoError(t, err)
		require.Equal(t, want, got)
		yamlData, err := yaml.Marshal(want)
		require.NoError(t, err)
		got, err = Parse("yaml", yamlData)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

func TestDigestIgnoresServerOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := ticketGenerator().Draw(t, "ticket")
		b := a
		b.Servers = rapid.Permutation(a.Servers).Draw(t, "servers")
		require.Equal(t, Digest(a), Digest(b))
		b.Reason += "!"
		require.NotEqual(t, Digest(a), Digest(b))
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"kind":"ticket","ticket":{"number":1}}`))
	f.Add([]byte(`{"kind":"state","snapshot":{"version":1,"appliedOffset":-1}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s := NewState()
		first := s.Apply(0, value)
		require.Equal(t, int64(0), s.AppliedOffset())
		require.NotEqual(t, OutcomeGap, first.Outcome)
		_, _ = Parse("f", value)
	})
}
