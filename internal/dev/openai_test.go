package dev

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
)

// TestOpenAIClient checks that the OpenAI client library for Go works with the HTTP
// interface for callers.
func TestOpenAIClient(t *testing.T) {
	c, _ := startTestCluster(t, Options{TokenTime: time.Millisecond})
	client := openai.NewClient(
		option.WithBaseURL(c.VMs[0].FrontendURL()+"/v1"), option.WithAPIKey("caller"), option.WithMaxRetries(0))
	const model = "plough-notes@v2"
	chat := openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which road first")},
	}

	t.Run("chat not streamed", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), chat)
		assert.NilError(t, err)
		assert.Equal(t, got.Model, model)
		assert.Equal(t, got.Choices[0].Message.Content, expectedText(model, "which road first"))
	})
	t.Run("chat streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chat)
		var text strings.Builder
		for stream.Next() {
			part := stream.Current()
			assert.Equal(t, part.Model, model)
			text.WriteString(part.Choices[0].Delta.Content)
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text.String(), expectedText(model, "which road first"))
	})
	t.Run("completion not streamed and streamed", func(t *testing.T) {
		params := openai.CompletionNewParams{Model: model, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("salt")}}
		got, err := client.Completions.New(t.Context(), params)
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Text, expectedText(model, "salt"))
		stream := client.Completions.NewStreaming(t.Context(), params)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Text
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text, expectedText(model, "salt"))
	})
	t.Run("models", func(t *testing.T) {
		list, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Data), len(c.models())+len(c.Bundle().Bases))
		got, err := client.Models.Get(t.Context(), model)
		assert.NilError(t, err)
		assert.Equal(t, got.ID, model)
	})
	t.Run("errors", func(t *testing.T) {
		for _, row := range []struct {
			model  string
			status int
			code   string
		}{
			{"plough-notes", http.StatusBadRequest, "version_required"},
			{"plough-notes@v9", http.StatusNotFound, "model_not_found"},
			{"nobody@v1", http.StatusNotFound, "model_not_found"},
		} {
			params := chat
			params.Model = row.model
			_, err := client.Chat.Completions.New(t.Context(), params)
			var apiErr *openai.Error
			assert.Assert(t, errors.As(err, &apiErr), "%v", err)
			assert.Equal(t, apiErr.StatusCode, row.status)
			assert.Equal(t, apiErr.Code, row.code)
			assert.Equal(t, apiErr.Param, "model")
		}
	})
	t.Run("cancel", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		stream := client.Chat.Completions.NewStreaming(ctx, chat)
		assert.Assert(t, stream.Next())
		cancel()
		for stream.Next() {
		}
		assert.ErrorIs(t, stream.Err(), context.Canceled)
	})
}
