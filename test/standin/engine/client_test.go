package engine_test

import (
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/standin/engine"
)

func TestOpenAIClient(t *testing.T) {
	_, url := startEngine(t, engine.Options{})
	client := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey("key"))
	params := openai.ChatCompletionNewParams{
		Model:         "standin",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a b c")},
		MaxTokens:     openai.Int(4),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	header := option.WithHeader("X-Request-Id", "r1")
	stream := client.Chat.Completions.NewStreaming(t.Context(), params, header)
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, streamed.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	whole, err := client.Chat.Completions.New(t.Context(), params, header)
	require.NoError(t, err)
	require.Equal(t, whole.Choices[0].Message.Content, streamed.Choices[0].Message.Content)
	require.Equal(t, "length", streamed.Choices[0].FinishReason)
	require.Equal(t, whole.Usage.CompletionTokens, streamed.Usage.CompletionTokens)

	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, "standin", models.Data[0].ID)
}
