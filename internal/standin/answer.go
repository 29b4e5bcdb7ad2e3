package standin

import (
	"encoding/json"
	"strings"
)

// answer is one completion. Its text starts with the weights that ran.
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
		panic(err) // plain strings always encode
	}
	return data
}

var stopReason = "stop"

func (a *answer) whole() []byte {
	text := strings.Join(a.words, " ")
	if !a.chat {
		return a.completion("text_completion", choice{Text: text, FinishReason: &stopReason})
	}
	return a.completion("chat.completion", choice{
		Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &stopReason,
	})
}

// events returns the answer as the events of a stream, one for each word, then
// the finish and the end mark.
func (a *answer) events() [][]byte {
	var out [][]byte
	for i, w := range a.words {
		if i > 0 {
			w = " " + w
		}
		out = append(out, event(a.part(w, nil)))
	}
	out = append(out, event(a.part("", &stopReason)))
	return append(out, event([]byte("[DONE]")))
}

func (a *answer) part(text string, finish *string) []byte {
	if !a.chat {
		return a.completion("text_completion", choice{Text: text, FinishReason: finish})
	}
	return a.completion("chat.completion.chunk", choice{Delta: &chatMessage{Content: text}, FinishReason: finish})
}

func event(data []byte) []byte {
	return append(append([]byte("data: "), data...), "\n\n"...)
}
