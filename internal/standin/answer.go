package standin

import (
	"encoding/json"
	"strings"
)

// answer is one completion. Its text starts with the path of the weights that produced it.
type answer struct {
	id    string
	model string
	chat  bool
	words []string
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Text         string       `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func (a *answer) completion(object string, c choice) []byte {
	data, err := json.Marshal(completion{ID: "cmpl-" + a.id, Object: object, Model: a.model, Choices: []choice{c}})
	if err != nil {
		panic(err) // strings always encode
	}
	return data
}

var stopReason = "stop"

// fullBody returns the answer as the body of a response that is not streamed.
func (a *answer) fullBody() []byte {
	text := strings.Join(a.words, " ")
	if !a.chat {
		return a.completion("text_completion", choice{Text: text, FinishReason: &stopReason})
	}
	return a.completion("chat.completion", choice{
		Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &stopReason,
	})
}

// events returns the answer as server-sent events: one for each word, one with the finish
// reason, and the end marker.
func (a *answer) events() [][]byte {
	var out [][]byte
	for i, w := range a.words {
		if i > 0 {
			w = " " + w
		}
		out = append(out, sseEvent(a.chunk(w, nil)))
	}
	out = append(out, sseEvent(a.chunk("", &stopReason)))
	return append(out, sseEvent([]byte("[DONE]")))
}

// chunk returns the data of one event of a stream. finish is nil for all but the last chunk.
func (a *answer) chunk(text string, finish *string) []byte {
	if !a.chat {
		return a.completion("text_completion", choice{Text: text, FinishReason: finish})
	}
	return a.completion("chat.completion.chunk", choice{Delta: &chatMessage{Content: text}, FinishReason: finish})
}

func sseEvent(data []byte) []byte {
	return append(append([]byte("data: "), data...), "\n\n"...)
}
