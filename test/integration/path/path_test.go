// Package path tests the request path end to end, from a caller through a daemon to backend servers.
package path

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

func TestRequestPath(t *testing.T) {
	f := cluster.StartFleet(t, cluster.Options{})
	f.AddEngine("z1", 4)
	f.AddPlainServer("z2", 2)
	f.SubmitNext()

	t.Run("openai client", func(t *testing.T) { testOpenAIClient(t, f) })
	t.Run("plain service", func(t *testing.T) {
		status, _, body := f.Call(1, "key-small", http.MethodPost, "/v1/services/registry/stamps", `{}`)
		require.Equal(t, http.StatusCreated, status, body)
		require.Contains(t, body, `"serial"`)
	})
	t.Run("rejections", func(t *testing.T) { testRejections(t, f) })
}

func testOpenAIClient(t *testing.T, f *cluster.Fleet) {
	for _, d := range f.Daemons {
		client := openai.NewClient(option.WithAPIKey("key-small"), option.WithBaseURL("http://"+d.Address+"/v1"))
		params := openai.ChatCompletionNewParams{
			Model:               "drafter",
			Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(strings.Repeat("dossier ", 400_000))},
			MaxCompletionTokens: openai.Int(12),
		}
		completion, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Len(t, strings.Fields(completion.Choices[0].Message.Content), 12)

		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			acc.AddChunk(stream.Current())
		}
		require.NoError(t, stream.Err())
		require.Len(t, strings.Fields(acc.Choices[0].Message.Content), 12)

		models, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, "drafter", models.Data[0].ID)
	}
}

func testRejections(t *testing.T, f *cluster.Fleet) {
	chat := "/v1/chat/completions"
	cases := []struct{ name, key, path, body, code string }{
		{"no key", "", chat, `{}`, "1001"},
		{"unknown key", "key-none", chat, `{}`, "1002"},
		{"malformed body", "key-small", chat, `{"model"`, "1004"},
		{"unknown model", "key-small", chat, `{"model":"none","messages":[{}]}`, "1006"},
		{"plain service as a model", "key-small", chat, `{"model":"registry","messages":[{}]}`, "1006"},
		{"unknown path", "key-small", "/v1/none", `{}`, "1007"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, header, body := f.Call(0, c.key, http.MethodPost, c.path, c.body)
			require.Equal(t, c.code, header.Get("X-Result-Code"), body)
			require.Equal(t, "not_run", header.Get("X-Outcome"))
		})
	}
}

func TestGracefulShutdownOfFleet(t *testing.T) {
	f := cluster.StartFleet(t, cluster.Options{DaemonArgs: []string{"--entries-lifetime", "1s", "--drain-margin", "500ms"}})
	f.AddEngine("z1", 4)
	f.SubmitNext()
	for _, d := range f.Daemons {
		d.Signal(syscall.SIGTERM)
	}
	for _, d := range f.Daemons {
		require.True(t, d.Wait(cluster.WaitTimeout))
		require.NoError(t, d.ExitError())
	}
}
