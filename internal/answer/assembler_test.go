package answer

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAssemblerKeepsAllFields(t *testing.T) {
	chunks := []string{
		`{"id":"c1","object":"chat.completion.chunk","created":1764800000123,"model":"m","system_fingerprint":"fp","choices":[{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}],"usage":null}`,
		`{"id":"c1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"Hel","reasoning_content":"be"},"logprobs":{"content":[{"token":"Hel","logprob":-0.25}]},"finish_reason":null}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"role":"assistant","content":"lo","reasoning_content":"cause"},"logprobs":{"content":[{"token":"lo","logprob":-0.5}]},"finish_reason":null}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"stamp","arguments":""}}]}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"n\":"}}]}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"t2","type":"function","function":{"name":"other","arguments":"{}"}},{"index":0,"function":{"arguments":"1}"}}]}}]}`,
		`{"id":"c1","choices":[{"index":1,"delta":{"role":"assistant","content":"second"},"finish_reason":"length","stop_reason":"x"}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`,
		`{"id":"c1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":2}}}`,
	}
	var a Assembler
	for _, chunk := range chunks {
		require.NoError(t, a.Add(chunk))
	}
	got, err := a.JSON()
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"c1","object":"chat.completion","created":1764800000123,"model":"m","system_fingerprint":"fp",
		"choices":[
			{"index":0,"finish_reason":"tool_calls",
				"logprobs":{"content":[{"token":"Hel","logprob":-0.25},{"token":"lo","logprob":-0.5}]},
				"message":{"role":"assistant","content":"Hello","reasoning_content":"because","tool_calls":[
					{"id":"t1","type":"function","function":{"name":"stamp","arguments":"{\"n\":1}"}},
					{"id":"t2","type":"function","function":{"name":"other","arguments":"{}"}}]}},
			{"index":1,"message":{"role":"assistant","content":"second"},"finish_reason":"length","stop_reason":"x"}],
		"usage":{"prompt_tokens":3,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":2}}}`, string(got))
}

func TestAssemblerRejectsMalformedChunks(t *testing.T) {
	for _, chunk := range []string{``, `[]`, `{"choices":[1]}`, `{"choices":[{"index":-1}]}`, `{"choices":[{"index":1000000}]}`, `{"choices":[{"index":"a"}]}`} {
		var a Assembler
		require.Error(t, a.Add(chunk), chunk)
	}
}

// Guards against a daemon that ends for its memory, because an engine sends valid chunks without end for a buffered answer.
func TestChunksWithoutEndStayWithinMemory(t *testing.T) {
	const maxHeap = 64 << 20
	text := strings.Repeat("x", 10_000)
	zeros := strings.Repeat("0,", 5_000) + "0"
	objects := strings.Repeat("{},", 3_000) + "{}"
	calls := strings.Repeat(`{"index":-1},`, 1_000) + "{}"
	for name, chunk := range map[string]func(i int) string{
		"text":              func(int) string { return `{"choices":[{"delta":{"content":"` + text + `"}}]}` },
		"list":              func(int) string { return `{"choices":[{"logprobs":{"content":[` + zeros + `]}}]}` },
		"list of objects":   func(int) string { return `{"choices":[{"logprobs":{"content":[` + objects + `]}}]}` },
		"lists in one":      func(int) string { return `{"choices":[{"logprobs":{"content":[[` + zeros + `]]}}]}` },
		"tool calls":        func(int) string { return `{"choices":[{"delta":{"tool_calls":[` + calls + `]}}]}` },
		"new fields":        func(i int) string { return fmt.Sprintf(`{"choices":[{"delta":{"f%d":0}}]}`, i) },
		"new objects":       func(i int) string { return fmt.Sprintf(`{"choices":[{"delta":{"f%d":[%s]}}]}`, i, objects) },
		"names of fields":   func(i int) string { return fmt.Sprintf(`{"choices":[{"delta":{"f%d%s":0}}]}`, i, text) },
		"fields of answer":  func(i int) string { return fmt.Sprintf(`{"f%d":"%s"}`, i, text) },
		"numbers of answer": func(i int) string { return fmt.Sprintf(`{"f%d":1%s}`, i, strings.Repeat("0", 10_000)) },
		"number for null": func(i int) string {
			return fmt.Sprintf(`{"choices":[{"f%d":1%s}]}`, i/2, strings.Repeat("0", 10_000*(i%2)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var a Assembler
			var err error
			i := 0
			for sent := 0; err == nil && sent < 64<<20 && i < 500_000; i++ {
				data := chunk(i)
				err = a.Add(data)
				sent += len(data)
			}
			var stats runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&stats)
			t.Logf("%d MB after %d chunks", stats.HeapAlloc>>20, i)
			require.Error(t, err)
			require.Less(t, stats.HeapAlloc, uint64(maxHeap))
			runtime.KeepAlive(&a)
		})
	}
}

// Guards against a bound that cuts off long answers, or counts what later chunks replace.
func TestLongAnswersAreAssembled(t *testing.T) {
	var a Assembler
	const chunks = 20_000
	for range chunks {
		require.NoError(t, a.Add(`{"id":"chatcmpl-1","model":"m","created":1764800000,"system_fingerprint":"fp","choices":[{"index":0,"delta":{"role":"assistant","content":"token"},"finish_reason":null}],"usage":null}`))
	}
	data, err := a.JSON()
	require.NoError(t, err)
	require.Greater(t, len(data), chunks*len("token"))
	replaced := `{"id":"` + strings.Repeat("x", 100_000) + `","choices":[]}`
	for range 1000 {
		require.NoError(t, a.Add(replaced))
	}
}
