package answer

import (
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
